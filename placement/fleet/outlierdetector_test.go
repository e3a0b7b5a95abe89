package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failingLoad simulates routers that send requests to one runner and report each result.
type failingLoad struct {
	failing *OutlierDetector
	now     time.Time
	// lost counts the failed requests.
	lost int
}

func newFailingLoad() *failingLoad {
	return &failingLoad{failing: NewOutlierDetector(), now: time.Unix(1000, 0)}
}

// run sends one request a second from each router, of which one in every fails; none if every is 0.
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

// Guards against losing requests at every router separately before a failing runner is ejected.
func TestFailingRunnerIsEjected(t *testing.T) {
	t.Run("all requests fail", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, 6*time.Second)
		qt.Assert(t, load.lost <= 4*minFailures, qt.IsTrue, qt.Commentf("%d lost", load.lost))
	})
	t.Run("half of the requests fail", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 2, 6*time.Second)
		qt.Assert(t, load.lost <= 8*minFailures, qt.IsTrue, qt.Commentf("%d lost", load.lost))
	})
	t.Run("one request in ten fails", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 10, 6*time.Second)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("only one router reports failures", func(t *testing.T) {
		load := newFailingLoad()
		for range 20 {
			load.failing.Observe(load.now, "alone", Attempts{Instance: "r", Failed: 1})
		}
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("a recovered runner is used again", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, time.Second)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsTrue)
		load.run(68, 0, 2*minEjection)
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
	t.Run("an unlisted runner is forgotten", func(t *testing.T) {
		load := newFailingLoad()
		load.run(68, 1, time.Second)
		load.failing.Forget(load.now, func(string) bool { return false })
		qt.Assert(t, load.failing.IsFailing(load.now, "r"), qt.IsFalse)
	})
}

func BenchmarkFailingObserve(b *testing.B) {
	failing := NewOutlierDetector()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		failing.Observe(now, "router", Attempts{Instance: "r", Answered: 1, Failed: i % 2})
	}
}
