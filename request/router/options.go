package router

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the settings of a Core. Zone, Daemon and Random are required; zero
// values of the others mean the defaults.
type Options struct {
	Zone   structs.ZoneID
	Daemon structs.DaemonID
	// Address is where other daemons call this one; claims name it.
	Address string
	// Session tells this life of the daemon apart from others, for its claims.
	Session structs.SessionID
	// Zones lists all zones of the site; keys are spread over them.
	Zones []structs.ZoneID
	// Random is the only source of randomness; the caller seeds it.
	Random *rand.Rand
	// QueueLimit bounds the waiting requests of a row, CallerLimit those of one
	// caller in a row, TotalLimit all requests of the router.
	QueueLimit  int
	CallerLimit int
	TotalLimit  int
	// GuardAfter is how many turns a waiting class or row is passed over.
	GuardAfter int
	// CallerTokens bounds the tokens of one caller in a row, RowTokens those of a row,
	// both in this router.
	CallerTokens admission.TokenRate
	RowTokens    admission.TokenRate
	// CallerWeight gives a caller's share; nil means equal shares.
	CallerWeight func(caller string) int
	// DefaultDeadline is given to requests that bring none.
	DefaultDeadline time.Duration
	// AttemptLimit bounds the attempts of a request. RetryRatio is how many
	// retries a request of the row earns, RetryReserve how many are kept.
	AttemptLimit int
	RetryRatio   float64
	RetryReserve float64
	// BackoffBase and BackoffLimit bound the delay before a retry.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// StallFloor and StallCeiling bound how long an engine may send nothing before
	// its attempt is taken to have stalled; for the first token a long prompt, and
	// the time to wait for another request there, come on top.
	StallFloor   time.Duration
	StallCeiling time.Duration
	// StatusLimit bounds how often an engine is asked about one attempt.
	StatusLimit int
	// AnswerLimit bounds the answer of a request with a key, in bytes; AnswerLife
	// is how long its key stays claimed, and the longest time it can be replayed.
	AnswerLimit int
	AnswerLife  time.Duration
	// Estimator holds what is believed of a row before it was observed.
	Estimator admission.EstimatorOptions
	// Routing holds the settings of the choice of replicas; its Daemon is set by New.
	Routing routing.Options
}

// Defaults of Options.
const (
	DefaultTotalLimit   = 16384
	DefaultDeadline     = 30 * time.Second
	DefaultAttemptLimit = 4
	DefaultStatusLimit  = 4
	DefaultStallFloor   = time.Second
	DefaultStallCeiling = 5 * time.Second
	DefaultAnswerLimit  = 1 << 20
	DefaultAnswerLife   = 24 * time.Hour
)

// MinimumRetryAfter is the shortest time a refused caller is told to wait.
const MinimumRetryAfter = 100 * time.Millisecond

// pollInterval is how often a router with waiting requests wants a Tick.
const pollInterval = 100 * time.Millisecond

// reviewInterval is how often the requests waiting for a row are checked against
// the estimate.
const reviewInterval = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	option.Positive(&o.TotalLimit, DefaultTotalLimit)
	option.Positive(&o.GuardAfter, admission.DefaultGuardAfter)
	option.Positive(&o.DefaultDeadline, DefaultDeadline)
	option.Positive(&o.AttemptLimit, DefaultAttemptLimit)
	option.Positive(&o.StatusLimit, DefaultStatusLimit)
	option.Positive(&o.StallFloor, DefaultStallFloor)
	option.Positive(&o.StallCeiling, DefaultStallCeiling)
	option.Positive(&o.AnswerLimit, DefaultAnswerLimit)
	option.Positive(&o.AnswerLife, DefaultAnswerLife)
	option.Positive(&o.BackoffBase, routing.DefaultBackoffBase)
	option.Positive(&o.BackoffLimit, routing.DefaultBackoffLimit)
	if len(o.Zones) == 0 {
		o.Zones = []structs.ZoneID{o.Zone}
	}
	o.Routing.Daemon = o.Daemon
	return o
}
