package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// forward makes the first zone's router forward a request to zone-1, as for a row
// served only there, and returns the call.
func (s *streamSite) forward(request structs.Request) *call {
	own := s.daemons[0].router
	submitted := newCall(request, func() {})
	own.mutex.Lock()
	defer own.mutex.Unlock()
	own.calls[request.ID] = submitted
	own.forward(router.Forward{ID: request.ID, Zones: []structs.ZoneID{"zone-1"}})
	return submitted
}

// openRequest returns a daemon's open request with the given prompt.
func (s *streamSite) openRequest(index int, prompt string) structs.Request {
	own := s.daemons[index].router
	own.mutex.Lock()
	defer own.mutex.Unlock()
	for _, open := range own.calls {
		if open.request.Prompt == prompt {
			return open.request
		}
	}
	s.TB.Fatal("the request is not open")
	return structs.Request{}
}

func TestOnlyACertificateOfTheSiteMakesARequestForwarded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2, secure: true})
		s.applyRows(1)
		s.slowDown()
		outsider := api.NewClient(&http.Client{Transport: s.http})
		fromCaller := streamRequest("caller", "r0", longAnswer)
		claimed, err := outsider.Call(s.ctx, s.url(1), "", "zone-0", fromCaller)
		s.Assert(err, qt.IsNil)
		fromDaemon := streamRequest("daemon", "r0", longAnswer)
		fromDaemon.Caller = "cellar"
		answers := []api.Answer{claimed, s.forward(fromDaemon)}
		var begun []string
		for i, request := range []structs.Request{fromCaller, fromDaemon} {
			token, err := answers[i].Next(s.ctx)
			s.Assert(err, qt.IsNil)
			open := s.openRequest(1, request.Prompt)
			s.Assert(open.Forwarded, qt.Equals, i == 1)
			s.Assert(open.Caller == "cellar", qt.Equals, i == 1)
			begun = append(begun, token.Text)
		}
		s.restoreSpeed()
		for i, request := range []structs.Request{fromCaller, fromDaemon} {
			text, err := readRest(answers[i], begun[i])
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, wholeAnswer(request))
		}
	})
}

// TestStopTextsReachTheEngine checks requests run in the own zone and forwarded ones.
func TestStopTextsReachTheEngine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		for _, id := range []string{"here", "elsewhere"} {
			request := streamRequest(id, "r0", longAnswer)
			whole := wholeAnswer(request)
			stop := whole[40:44]
			request.Sampling = &structs.Sampling{Stop: []string{stop}}
			answer, err := s.call(0, request)
			if id == "elsewhere" {
				answer, err = s.forward(request), nil
			}
			s.Assert(err, qt.IsNil)
			text, err := readRest(answer, "")
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, whole[:strings.Index(whole, stop)])
		}
	})
}

func TestCutBetweenZonesEndsForwardedRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			key  string
			want structs.Execution
		}{{"", structs.ExecutionPartial}, {"key", structs.ExecutionUnknown}} {
			s := newStreamSite(t, streamSiteOptions{zones: 2})
			s.applyRows(1)
			s.slowDown()
			request := streamRequest("begun", "r0", longAnswer)
			request.IdempotencyKey = test.key
			answer := s.forward(request)
			_, err := answer.Next(s.ctx)
			s.Assert(err, qt.IsNil)
			s.daemons[0].faults.Cut(s.settings[1].Listen.Callers)
			_, err = readRest(answer, "")
			s.Assert(refusalOf(s.C, err).Execution, qt.Equals, test.want)

			_, err = readRest(s.forward(streamRequest("new", "r0", 5)), "")
			refusal := refusalOf(s.C, err)
			s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
			s.Assert(refusal.Error.RetryAfter > 0, qt.IsTrue)
		}
	})
}

func TestForwardedStreamOutlivesAPlannedStopAndNewOnesAreRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		s.slowDown()
		request := streamRequest("begun", "r0", longAnswer)
		answer := s.forward(request)
		token, err := answer.Next(s.ctx)
		s.Assert(err, qt.IsNil)
		stopped := s.beginStop(context.Background(), 1)
		_, err = readRest(s.forward(streamRequest("new", "r0", 5)), "")
		s.Assert(refusalOf(s.C, err).Execution, qt.Equals, structs.ExecutionNotRun)
		s.restoreSpeed()
		text, err := readRest(answer, token.Text)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
		s.Assert(<-stopped, qt.Equals, 0)
	})
}
