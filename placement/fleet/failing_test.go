package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failingLoad plays routers that each send a runner a request now and then, and report how they
// ended four times a second.
type failingLoad struct {
	failing *Failing
	now     time.Time
	// lost counts the requests that failed.
	lost int
}

func newFailingLoad() *failingLoad {
	return &failingLoad{failing: NewFailing(), now: time.Unix(1000, 0)}
}

// run lets so many routers send one request each a second, of which one in every fails; 0 for
// none.
func (l *failingLoad) run(routers int, every int, length time.Duration) {
	const step = 10 * time.Millisecond
	sent := 0
	for end := l.now.Add(length); l.now.Before(end); l.now = l.now.Add(step) {
		for range max(1, routers*int(step)/int(time.Second)) {
			if l.failing.IsFailing(l.now, "r") {
				continue
			}
			sent++
			ended := Attempts{Instance: "r", Answered: 1}
			if every > 0 && sent%every == 0 {
				ended = Attempts{Instance: "r", Failed: 1}
				l.lost++
			}
			l.failing.Observe(l.now, fmt.Sprint("router-", sent%routers), ended)
		}
	}
}

// A runner that resets what it is sent, for six seconds, costs each of 68 routers two requests and
// those of its trials while each finds out alone; together they lose a dozen for each rest.
func TestFailingRunnerRests(t *testing.T) {
	t.Run("one that fails everything is found by its first few requests", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, 6*time.Second)
		qt.Assert(t, load.lost <= 4*enoughFailed, qt.IsTrue, qt.Commentf("%d lost", load.lost))
	})
	t.Run("one that fails two of five does not stay", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 2, 6*time.Second)
		qt.Assert(t, load.lost <= 8*enoughFailed, qt.IsTrue, qt.Commentf("%d lost", load.lost))
	})
	t.Run("one that loses an answer in ten serves on", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 10, 6*time.Second)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("a router that fails by itself proves nothing", func(t *testing.T) {
		load := newFailingLoad()
		for range 20 {
			load.failing.Observe(load.now, "alone", Attempts{Instance: "r", Failed: 1})
		}
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("it is tried again, and used once it answers", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, time.Second)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsTrue)
		load.run(68, 0, 2*firstRest)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("what is listed no more is forgotten", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, time.Second)
		load.failing.Forget(load.now, func(string) bool { return false })
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
}

func BenchmarkFailingObserve(b *testing.B) {
	failing := NewFailing()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		failing.Observe(now, "router", Attempts{Instance: "r", Answered: 1, Failed: i % 2})
	}
}
