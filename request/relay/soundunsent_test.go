package relay

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// connectTime is the time that a connection to a runner takes; events happen in the middle of it.
const connectTime = 200 * time.Millisecond

// Guards against a request that is lost, or answered as if it could have run, because its send is recalled or withdrawn while the
// connection to the runner is made.
func TestRequestIsServedOrRefusedIfSendIsRecalled(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream-once/x", "/again/x", "/once/x"} {
		for _, around := range allSurroundings() {
			if around.instead != nil {
				continue
			}
			for name, event := range runningEvents() {
				t.Run(fmt.Sprintf("%s/%s/%s", path[1:len(path)-2], around.name, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkUnsentRequest(t, path, around.prepare, event) })
				})
			}
		}
	}
}

// checkUnsentRequest has an event happen before a request is sent, and checks that it is served, or refused without a run.
func checkUnsentRequest(t *testing.T, path string, prepare func(*Router), event func(*runningRequest)) {
	c := qt.New(t)
	runners := &steadyRunners{connecting: connectTime, copies: make(map[string]bool)}
	router := newChangingRouter(runners, 50)
	router.options.Dialer = NewRunnerDialer(unreachableNetwork{})
	if prepare != nil {
		prepare(router)
	}
	request := &Request{ID: "id", Wait: 9 * time.Second, ResumeAfter: NoEvent}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(connectTime / 2)
		event(unsentRequest(router, request))
	}()
	recorder, aborted := askChanging(router, request, path)
	<-done
	isWhole := recorder.Code == http.StatusOK && recorder.Body.String() == wholeBody(path, 0)
	isRefused := recorder.Code == http.StatusServiceUnavailable && len(runners.attempts) == 0
	c.Check(!aborted && (isWhole || isRefused), qt.IsTrue,
		qt.Commentf("status %d, aborted %t, %d sends: %q", recorder.Code, aborted, len(runners.attempts), recorder.Body))
	time.Sleep(handleTTL + time.Second)
	assertNothingInProgress(c, router)
}

// unsentRequest returns the request whose connection is being made.
func unsentRequest(router *Router, request *Request) *runningRequest {
	running := &runningRequest{router: router, request: request}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for row, state := range router.rows {
		for _, id := range slices.Sorted(maps.Keys(state.active)) {
			running.row = residency.Row{Service: row.Service, Model: row.Model}
			running.instance, running.zone = string(id), router.zones.watch.ZoneOf(structs.RunnerID(id))
		}
	}
	return running
}
