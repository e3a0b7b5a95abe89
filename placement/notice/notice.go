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
	// Brittle says that the runner falls over if it has to reject many requests.
	Brittle Brittle
	// Problems describes invalid values of Cooldown, IsLeaving and Brittle.
	Problems []string
}

// Brittle is how many requests a brittle runner can reject for want of room without falling over. The zero value
// announces nothing.
type Brittle struct {
	// IsNamed is set if the runner is brittle. PerSecond is how many rejections in a second it bears, of the
	// requests of all routers.
	IsNamed   bool
	PerSecond float64
}

// Report is a router's report of a runner's announcement to the leader.
type Report struct {
	Instance string
	// RestsFor is the expected remaining cooldown of the runner for this router; 0 if the runner
	// takes requests.
	RestsFor  time.Duration
	IsLeaving bool
}
