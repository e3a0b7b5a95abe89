package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the settings of a Balancer; zero values mean the defaults.
type Options struct {
	// Daemon determines the subset, together with the IDs of the runners.
	Daemon structs.DaemonID
	// Zone is the zone of this daemon; empty if there are no zones.
	Zone structs.ZoneID
	// Regions maps zones to regions; nil if there is one region only.
	Regions map[structs.ZoneID]string
	// Choices is the number of replicas sampled for a choice.
	Choices int
	// SubsetSize bounds the replicas of a row that this daemon uses.
	SubsetSize int
	// AffinityBound bounds the extra cost of a runner with a cached prefix over the
	// best sample, as a share of a full batch.
	AffinityBound float64
	// HintLimit bounds the number of remembered prefixes.
	HintLimit int
	// QueueSlack is the number of requests sent to a runner beyond MaxBatch.
	QueueSlack int
	// MaxBatch is assumed for runners that have not reported theirs.
	MaxBatch int
	// ReportTTL is how long a load report is used.
	ReportTTL time.Duration
	// BreakerFailures is the number of consecutive failures that opens a breaker.
	BreakerFailures int
	// BreakerDelay is how long a breaker stays open before a probe; it doubles with
	// every failed probe up to BreakerDelayLimit.
	BreakerDelay      time.Duration
	BreakerDelayLimit time.Duration
	// EjectionShare is the largest share of a row's subset ejected as outliers.
	EjectionShare float64
	// EjectionTime is how long an outlier stays ejected.
	EjectionTime time.Duration
	// UseFailing allows the choice of a replica that refuses requests if no other one
	// is usable.
	UseFailing bool
	// ColdTime is the cost of a new connection, which is needed for a runner that has
	// not answered within WarmTime. Zero ignores connections.
	ColdTime time.Duration
	WarmTime time.Duration
	// CostExponent is the power of the cost in the weights of a random draw, for routers
	// that each know little of the load of many others. Zero selects the best of
	// Choices samples.
	CostExponent int
}

// Defaults of Options.
const (
	DefaultChoices           = 2
	DefaultSubsetSize        = 16
	DefaultAffinityBound     = 0.25
	DefaultHintLimit         = 32768
	DefaultQueueSlack        = 2
	DefaultMaxBatch          = 8
	DefaultReportTTL         = 10 * time.Second
	DefaultBreakerFailures   = 5
	DefaultBreakerDelay      = time.Second
	DefaultBreakerDelayLimit = 30 * time.Second
	DefaultEjectionShare     = 0.34
	DefaultEjectionTime      = 10 * time.Second
)

func (o Options) withDefaults() Options {
	option.Positive(&o.Choices, DefaultChoices)
	option.Positive(&o.SubsetSize, DefaultSubsetSize)
	option.Positive(&o.AffinityBound, DefaultAffinityBound)
	option.Positive(&o.HintLimit, DefaultHintLimit)
	option.Positive(&o.QueueSlack, DefaultQueueSlack)
	option.Positive(&o.MaxBatch, DefaultMaxBatch)
	option.Positive(&o.ReportTTL, DefaultReportTTL)
	option.Positive(&o.BreakerFailures, DefaultBreakerFailures)
	option.Positive(&o.BreakerDelay, DefaultBreakerDelay)
	option.Positive(&o.BreakerDelayLimit, DefaultBreakerDelayLimit)
	option.Positive(&o.EjectionShare, DefaultEjectionShare)
	option.Positive(&o.EjectionTime, DefaultEjectionTime)
	return o
}
