package router

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the settings of a Core. Zone, Daemon and Random are required; zero values
// of the other fields mean the defaults.
type Options struct {
	Zone   structs.ZoneID
	Daemon structs.DaemonID
	// Address is where other daemons reach this one; claims record it.
	Address string
	// Session identifies this incarnation of the daemon in its claims.
	Session structs.SessionID
	// Zones lists all zones of the site; keys are distributed over them.
	Zones []structs.ZoneID
	// Random is the only source of randomness, seeded by the caller of New.
	Random *rand.Rand
	// QueueLimit limits the waiting requests of a row, CallerLimit those of one caller in
	// a row, and TotalLimit all requests of the router.
	QueueLimit  int
	CallerLimit int
	TotalLimit  int
	// MaxPassedOver is how many times a waiting class or row is passed over before it gets a
	// turn.
	MaxPassedOver int
	// CallerTokens limits the tokens of one caller in a row, RowTokens those of a row,
	// each in this router.
	CallerTokens admission.TokenRate
	RowTokens    admission.TokenRate
	// CallerWeight returns the weight of a caller; nil means equal weights.
	CallerWeight func(caller string) int
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline time.Duration
	// AttemptLimit limits the attempts of a request. RetryRatio is the number of retries
	// that a request adds to the budget of its row, RetryReserve the maximum of the
	// budget.
	AttemptLimit int
	RetryRatio   float64
	RetryReserve float64
	// BackoffBase and BackoffLimit bound the delay before a retry.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// StallFloor and StallCeiling bound the time without a token after which an attempt
	// counts as stalled. For the first token, allowances for a long prompt and for
	// queueing at the engine are added.
	StallFloor   time.Duration
	StallCeiling time.Duration
	// StatusLimit limits the status requests for one attempt.
	StatusLimit int
	// AnswerLimit limits the answer of a request with a key, in bytes. AnswerTTL is how
	// long the key stays claimed, and the longest time that the answer can be replayed.
	AnswerLimit int
	AnswerTTL   time.Duration
	// Estimator holds the estimates for a row without observations.
	Estimator admission.EstimatorOptions
	// Routing holds the settings of replica selection; New sets its Daemon.
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
	DefaultAnswerTTL    = 24 * time.Hour
)

// MinRetryAfter is the shortest RetryAfter of a rejection.
const MinRetryAfter = 100 * time.Millisecond

// pollInterval is the interval between Ticks while requests are waiting.
const pollInterval = 100 * time.Millisecond

// reviewInterval is how often waiting requests are checked against the estimate.
const reviewInterval = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	option.Positive(&o.TotalLimit, DefaultTotalLimit)
	option.Positive(&o.MaxPassedOver, admission.DefaultMaxPassedOver)
	option.Positive(&o.DefaultDeadline, DefaultDeadline)
	option.Positive(&o.AttemptLimit, DefaultAttemptLimit)
	option.Positive(&o.StatusLimit, DefaultStatusLimit)
	option.Positive(&o.StallFloor, DefaultStallFloor)
	option.Positive(&o.StallCeiling, DefaultStallCeiling)
	option.Positive(&o.AnswerLimit, DefaultAnswerLimit)
	option.Positive(&o.AnswerTTL, DefaultAnswerTTL)
	option.Positive(&o.BackoffBase, routing.DefaultBackoffBase)
	option.Positive(&o.BackoffLimit, routing.DefaultBackoffLimit)
	if len(o.Zones) == 0 {
		o.Zones = []structs.ZoneID{o.Zone}
	}
	o.Routing.Daemon = o.Daemon
	return o
}
