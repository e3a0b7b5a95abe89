package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The first views of a new leader to a thousand routers leave half of its link, all the time, to its heartbeats, and
// every router has its view within some seconds.
func TestFirstViewsLeaveTheLinkToTheGroup(t *testing.T) {
	const (
		link    = 125e6 // 1 Gbit/s, in bytes a second
		view    = 200_000
		routers = 985
	)
	c := qt.New(t)
	start := time.Unix(1000, 0)
	p := newPacer(link * linkShare)
	var sent []time.Duration
	// Routers ask again each time they are told to wait.
	for at := time.Duration(0); len(sent) < routers; at += 10 * time.Millisecond {
		for len(sent) < routers {
			wait, isTaken := p.reserve(start.Add(at), view, 600*time.Millisecond)
			if !isTaken {
				break
			}
			sent = append(sent, at+wait)
		}
	}
	first := 0
	for i, at := range sent {
		for at-sent[first] >= 100*time.Millisecond {
			first++
		}
		bytes := float64((i - first + 1) * view)
		c.Assert(bytes <= 0.1*link*linkShare+2*view, qt.IsTrue, qt.Commentf("%.0f bytes in 0.1 s", bytes))
	}
	c.Assert(sent[routers-1] < 4*time.Second, qt.IsTrue, qt.Commentf("%v", sent[routers-1]))
}

// Words without a view reach a thousand routers within a quarter of a second, and some dozens at once.
func TestSmallAnswersAreSpreadLittle(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	for routers, within := range map[int]time.Duration{30: 10 * time.Millisecond, 985: 250 * time.Millisecond} {
		p := newPacer(0)
		var last time.Duration
		for range routers {
			wait, isTaken := p.reserve(start, 300, time.Second)
			c.Assert(isTaken, qt.IsTrue)
			last = wait
		}
		c.Assert(last <= within, qt.IsTrue, qt.Commentf("%v", last))
	}
}
