package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The first views of a new leader to a thousand routers use at most half of the link at any
// time, and every router has its view within seconds.
func TestFirstViewsLeaveTheLinkToTheGroup(t *testing.T) {
	const (
		link    = 125e6 // 1 Gbit/s, in bytes a second
		view    = 200_000
		routers = 985
	)
	c := qt.New(t)
	start := time.Unix(1000, 0)
	p := newPacer(link * replyLinkShare)
	var sent []time.Duration
	// Routers retry after each refusal.
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
		c.Assert(bytes <= 0.1*link*replyLinkShare+2*view, qt.IsTrue, qt.Commentf("%.0f bytes in 0.1 s", bytes))
	}
	c.Assert(sent[routers-1] < 4*time.Second, qt.IsTrue, qt.Commentf("%v", sent[routers-1]))
}

// Replies without a view reach a thousand routers within 250 ms.
func TestSmallRepliesAreBarelyDelayed(t *testing.T) {
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
