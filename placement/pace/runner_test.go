package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRunner(t *testing.T) {
	runner := Runner{PromptRate: 20000, Event: 50 * time.Millisecond, Slowness: 2}
	t.Run("a prompt waits for those before it", func(t *testing.T) {
		qt.Assert(t, runner.FirstEvent(1000, 500), qt.Equals, 125*time.Millisecond)
	})
	t.Run("an unknown runner", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(Runner{}.IsKnown(), qt.IsFalse)
		c.Assert(Runner{}.FirstEvent(1000, 500), qt.Equals, time.Duration(0))
	})
}
