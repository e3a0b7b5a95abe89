package fleet

import "time"

// DefaultHeartbeat is the pause between two heartbeats of a runner where none is set.
const DefaultHeartbeat = 1200 * time.Millisecond

const (
	// heartbeatLateness is by how much a heartbeat of a runner that lives may be late: seconds, while links are
	// cut or lose packets and its calls go from one controller to the next.
	heartbeatLateness = 5600 * time.Millisecond
	// firstLateness is the same for the first heartbeat that a new leader hears of each runner: what it does
	// not hear within it, it takes as certain only once the runner is silent.
	firstLateness = 4800 * time.Millisecond
	// forgottenAfter is how long a runner that has ended is remembered, against
	// heartbeats that were on their way.
	forgottenAfter = 60 * time.Second
	// unrecordedAfter times the silence of a runner is after how long it is no longer recalled by the leaders to
	// come.
	unrecordedAfter = 2.5
)

// Timing is how long it takes until the silence of runners tells something. It follows from the pause between two
// of their heartbeats, which sites choose by their size.
type Timing struct {
	// Heartbeat is that pause.
	Heartbeat time.Duration
}

// Silence is how long after its last heartbeat a runner is taken to be lost: one may be lost on its way, and the
// next be late.
func (t Timing) Silence() time.Duration { return 2*t.Heartbeat + heartbeatLateness }

// Learning is how long a new leader hears heartbeats before it takes the absence of one for news.
func (t Timing) Learning() time.Duration { return t.Heartbeat + firstLateness }

// Unrecorded is how long a runner must be silent before it is no longer recalled by the leaders to come.
func (t Timing) Unrecorded() time.Duration {
	return time.Duration(unrecordedAfter * float64(t.Silence()))
}
