package fleet

import "time"

// DefaultHeartbeat is the default interval between heartbeats of a runner.
const DefaultHeartbeat = 1200 * time.Millisecond

const (
	// heartbeatGrace is how late the heartbeat of a live runner may be, for example while links are
	// down or lose packets and the runner tries one controller after the other.
	heartbeatGrace = 5600 * time.Millisecond
	// firstHeartbeatGrace is the same for the first heartbeat of each runner to a new leader.
	firstHeartbeatGrace = 4800 * time.Millisecond
	// tombstoneTTL is how long an ended runner is remembered, to reject heartbeats still in flight.
	tombstoneTTL = 60 * time.Second
	// A runner's registration is deleted after unrecordedFactor times its silence limit.
	unrecordedFactor = 2.5
)

// Timing derives the timeouts for silent runners from the heartbeat interval, which is configured
// by fleet size.
type Timing struct {
	// Heartbeat is the interval between heartbeats of a runner.
	Heartbeat time.Duration
}

// SilenceLimit returns how long after its last heartbeat a runner counts as lost. It tolerates one lost
// heartbeat followed by a late one.
func (t Timing) SilenceLimit() time.Duration { return 2*t.Heartbeat + heartbeatGrace }

// LearningPeriod returns how long a new leader waits for heartbeats before unlisted runners count as
// gone.
func (t Timing) LearningPeriod() time.Duration { return t.Heartbeat + firstHeartbeatGrace }

// DeregistrationDelay returns how long a runner must be silent before later leaders no longer recall it.
func (t Timing) DeregistrationDelay() time.Duration {
	return time.Duration(unrecordedFactor * float64(t.SilenceLimit()))
}
