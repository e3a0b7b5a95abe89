package relay

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Only outcomes that reflect on the runner are reported to the leader.
func TestAttemptOutcomesAreReported(t *testing.T) {
	for _, test := range []struct {
		name             string
		answer           func() (*Answer, error)
		answered, failed int
	}{
		{"answered", fine, 1, 0},
		{"broken", broken, 0, 1},
		{"failed by the runner", failed, 0, 1},
		{"rejected at capacity", shed, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(firstThen(test.answer, test.answer))
				ask(router, t.Context(), "/once/x", "")
				answered, failures := 0, 0
				for _, each := range router.takeAttempts() {
					answered += each.Answered
					failures += each.Failed
				}
				c.Assert(answered, qt.Equals, test.answered)
				c.Assert(failures, qt.Equals, test.failed)
				c.Assert(router.takeAttempts(), qt.HasLen, 0)
			})
		})
	}
}
