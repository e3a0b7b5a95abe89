package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSlack(t *testing.T) {
	arrived := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	patient := Ticket{Arrived: arrived, Due: arrived.Add(6 * time.Second), Prompt: 646, Answer: 70}
	t.Run("remaining time less the time to the first event", func(t *testing.T) {
		qt.Assert(t, patient.Slack(arrived.Add(time.Second), 200*time.Millisecond), qt.Equals, 4800*time.Millisecond)
	})
	t.Run("negative if late", func(t *testing.T) {
		qt.Assert(t, patient.Slack(arrived.Add(7*time.Second), 0) < 0, qt.IsTrue)
	})
	t.Run("work is the sum of tokens", func(t *testing.T) { qt.Assert(t, patient.Work(), qt.Equals, int64(716)) })
}
