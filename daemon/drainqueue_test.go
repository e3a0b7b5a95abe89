package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// queuedRequests are more than an engine takes at a time.
const queuedRequests = 60

// silentEngine accepts requests and sends nothing. It records the prompts that arrive.
type silentEngine struct {
	mutex   sync.Mutex
	prompts map[string]bool
}

// ServeHTTP implements http.Handler.
func (e *silentEngine) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var request structs.GenerateRequest
	if json.NewDecoder(r.Body).Decode(&request) == nil {
		e.mutex.Lock()
		e.prompts[request.Prompt] = true
		e.mutex.Unlock()
	}
	<-r.Context().Done()
}

func (e *silentEngine) hasArrived(prompt string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prompts[prompt]
}

// attempts returns the number of requests that the first daemon's core has sent to engines.
func (s *streamSite) attempts() uint64 {
	own := s.daemons[0].router
	own.mutex.Lock()
	defer own.mutex.Unlock()
	return own.core.Stats().Attempts
}

// Guards against requests that are refused as not run and sent all the same: a stop that is cut ends the requests in progress, and
// those that wait for the same row get their places.
func TestStopThatIsCutSendsNoRequestThatItRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		engine := &silentEngine{prompts: make(map[string]bool)}
		s := newStreamSite(t, streamSiteOptions{zones: 1, engine: engine})
		s.applyRows(1)
		requests := make([]structs.Request, queuedRequests)
		refusals := make([]structs.Rejection, queuedRequests)
		var asking sync.WaitGroup
		for i := range requests {
			requests[i] = streamRequest(fmt.Sprint("queued-", i), "r0", longAnswer)
			asking.Go(func() {
				waiting, err := s.call(0, requests[i])
				if err == nil {
					_, err = readRest(waiting, "")
				}
				var refused *api.RefusedError
				if errors.As(err, &refused) {
					refusals[i] = refused.Refusal
				}
			})
		}
		time.Sleep(time.Second)
		open := s.daemons[0].router.unfinished()
		s.Assert(open.running > 0 && open.waiting > 0, qt.IsTrue)
		before := s.attempts()
		ctx, cut := context.WithCancelCause(context.Background())
		stopped := s.beginStop(ctx, 0)
		cut(ErrSecondSignal)
		s.Assert(<-stopped, qt.Equals, queuedRequests)
		s.Check(s.attempts(), qt.Equals, before)
		asking.Wait()
		notRun, sent := 0, 0
		for i, refusal := range refusals {
			if refusal.Execution == structs.ExecutionNotRun {
				notRun++
				if engine.hasArrived(requests[i].Prompt) {
					sent++
				}
			}
		}
		s.Check(notRun > 0, qt.IsTrue)
		s.Check(sent, qt.Equals, 0)
	})
}
