package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// lastResponse records the last HTTP response.
type lastResponse struct {
	next     http.RoundTripper
	response *http.Response
}

func (l *lastResponse) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	l.response = response
	return response, err
}

// claimsOf returns the keys of the claims held in a zone.
func (s *streamSite) claimsOf(index int) []structs.ClaimKey {
	node := s.daemons[index].zone
	var keys []structs.ClaimKey
	node.group.View(func() {
		for _, claim := range node.machine.state.HeldClaims() {
			keys = append(keys, claim.Key)
		}
	})
	return keys
}

// TestKeyWithAPrefixIsHeldInThatZoneWhicheverServes checks that the claim is held in
// the home zone of the key, and that the request is refused as not run while that zone
// is unreachable.
func TestKeyWithAPrefixIsHeldInThatZoneWhicheverServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		s.slowDown()
		var requests []structs.Request
		var answers []api.Answer
		for serving := range 2 {
			request := streamRequest(fmt.Sprint("request-", serving), "r0", longAnswer)
			request.IdempotencyKey = fmt.Sprint("zone-1:abc-", serving)
			answer, err := s.call(serving, request)
			s.Assert(err, qt.IsNil)
			_, err = answer.Next(s.ctx)
			s.Assert(err, qt.IsNil)
			requests, answers = append(requests, request), append(answers, answer)
		}
		s.Assert(s.claimsOf(0), qt.HasLen, 0)
		s.Assert(s.claimsOf(1), qt.HasLen, len(requests))
		for _, answer := range answers {
			answer.Close()
		}
		s.restoreSpeed()

		s.daemons[0].faults.Cut(s.settings[1].Listen.Internal)
		cut := streamRequest("cut", "r0", 1)
		cut.IdempotencyKey = "zone-1:cut"
		// The first request detects that the home zone is unreachable.
		_, err := s.ask(0, cut)
		s.Assert(refusalOf(s.C, err).Execution, qt.Equals, structs.ExecutionNotRun)
		// Later requests are refused without calling the zone.
		cut.ID = "again"
		_, err = s.ask(0, cut)
		refusal := refusalOf(s.C, err)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
		s.Assert(refusal.Error.Message, qt.Contains, "zone zone-1, the home of the key, cannot be reached from zone zone-0")
		s.Assert(refusal.Error.Remedy, qt.Contains, `"zone-0:"`)
		s.Assert(refusal.Error.RetryAfter > 0, qt.IsTrue)
		s.Assert(s.executions(cut), qt.Equals, 0)
		// The suggested remedy works.
		own := streamRequest("own", "r0", 1)
		own.IdempotencyKey = "zone-0:cut"
		text, err := s.ask(0, own)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(own))
	})
}

// TestRetryIsToldThatItRanAndItsAnswerIsGone expires the stored answer before the
// retry.
func TestRetryIsToldThatItRanAndItsAnswerIsGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		request := streamRequest("first", "r0", 8)
		request.IdempotencyKey = "the-key"
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
		s.awaitClaim(0, "anonymous/the-key", structs.ClaimFinished)
		store := s.daemons[0].router.answers.store
		s.Assert(store.Usage().Answers, qt.Equals, 1)
		s.Assert(store.Expire(time.Now().Add(s.settings[0].Limits.ClaimRetention+time.Second)), qt.IsNil)
		s.Assert(store.Usage().Answers, qt.Equals, 0)
		request.ID = "second"
		last := &lastResponse{next: s.http}
		_, err = api.NewClient(&http.Client{Transport: last}).Call(s.ctx, s.url(0), "", "", request)
		refusal := refusalOf(s.C, err)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionDone)
		s.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorConflict)
		s.Assert(refusal.Error.Message, qt.Contains, "ran, and its answer is no longer kept")
		s.Assert(refusal.Error.Remedy, qt.Contains, "new key")
		s.Assert(last.response.StatusCode, qt.Equals, http.StatusConflict)
		s.Assert(last.response.Header.Get(api.HeaderExecution), qt.Equals, string(structs.ExecutionDone))
		s.Assert(last.response.Header.Get("Retry-After"), qt.Equals, "")
		s.Assert(last.response.Header.Get(api.HeaderShouldRetry), qt.Equals, "false")
		s.Assert(s.executions(request), qt.Equals, 1)
	})
}
