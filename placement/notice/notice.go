package notice

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

// Notice is what a runner announces in an answer. The zero value announces nothing.
type Notice struct {
	// Limit is the announced rate limit.
	Limit ratelimit.Notice
	// Cooldown is how long this router should send no requests to the runner; 0 if not announced.
	Cooldown time.Duration
	// IsLeaving is set if the runner takes no new requests until it ends.
	IsLeaving bool
	// Problems describes invalid values of Cooldown and IsLeaving.
	Problems []string
}

// Report is a router's report of a runner's announcement to the leader.
type Report struct {
	Instance string
	// RestsFor is the expected remaining cooldown of the runner for this router; 0 if the runner
	// takes requests.
	RestsFor  time.Duration
	IsLeaving bool
}
