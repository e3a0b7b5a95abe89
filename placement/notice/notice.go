package notice

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

// Notice is what an answer tells of the runner that gave it. The zero value tells nothing.
type Notice struct {
	// Limit is what it tells of the runner's rate limit.
	Limit ratelimit.Notice
	// Rest is for how long the runner wants no request from the router that it turned away; 0 if it does not say.
	Rest time.Duration
	// IsLeaving is set if the runner takes no new requests for the rest of its life.
	IsLeaving bool
	// Problems tell which of Rest and IsLeaving could not be read.
	Problems []string
}

// Report is what a router tells the leader of what a runner said.
type Report struct {
	Instance string
	// RestsFor is for how much longer the router expects that the runner takes nothing from it; 0 if it takes
	// requests.
	RestsFor  time.Duration
	IsLeaving bool
}
