package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowlyClosedBody is a body that takes time to close.
type slowlyClosedBody struct {
	io.Reader
	takes time.Duration
}

func (b *slowlyClosedBody) Close() error {
	time.Sleep(b.takes)
	return nil
}

// Guards against a search for a successor that ends twice, which ends the process: it stops to seek further runners while its last
// send, which has failed, is being closed, and the first attempt has ended.
func TestSearchForSuccessorEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			// firstBreaks is when the first attempt breaks: after the search has begun.
			firstBreaks = time.Second
			// successorFails is when the successor fails after it was sent: before its silence has lasted so long that the search ends.
			successorFails = 650 * time.Millisecond
			// closeTime is the time until the failed send is closed: after the search has ended.
			closeTime = 200 * time.Millisecond
		)
		c := qt.New(t)
		var sends atomic.Int32
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			if sends.Add(1) == 1 {
				if err := sleepIn(ctx, firstBreaks); err != nil {
					return nil, err
				}
				return broken()
			}
			if err := sleepIn(ctx, successorFails); err != nil {
				return nil, err
			}
			answer, err := failed()
			answer.Body = &slowlyClosedBody{strings.NewReader("failed"), closeTime}
			return answer, err
		})
		recorder, aborted := ask(router, t.Context(), "/again/x", "")
		c.Check(aborted, qt.IsFalse)
		c.Check(recorder.Code, qt.Equals, http.StatusInternalServerError)
		c.Check(recorder.Body.String(), qt.Equals, "failed")
		time.Sleep(time.Second)
	})
}
