package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the settings of a Balancer; zero values mean the defaults.
type Options struct {
	// Daemon decides, together with the runners' names, the subset.
	Daemon structs.DaemonID
	// Zone is that of this daemon; empty if there are no zones.
	Zone structs.ZoneID
	// Choices is how many replicas are sampled for a choice.
	Choices int
	// SubsetSize bounds the replicas of a row that this daemon uses.
	SubsetSize int
	// AffinityBound is by how much of a full batch the score of a runner with a
	// cached prefix may exceed that of the best sample.
	AffinityBound float64
	// HintLimit bounds the remembered prefixes.
	HintLimit int
	// QueueSlack is how many requests beyond MaxBatch a runner is given.
	QueueSlack int
	// MaxBatch is taken for runners that have not reported theirs.
	MaxBatch int
	// ReportLife is how long a load report counts.
	ReportLife time.Duration
	// BreakerFailures is how many failures in a row open a breaker.
	BreakerFailures int
	// BreakerDelay is how long a breaker stays open before a probe; it doubles
	// with every failed probe up to BreakerDelayLimit.
	BreakerDelay      time.Duration
	BreakerDelayLimit time.Duration
	// EjectionShare is the largest share of a row's subset ejected as outliers.
	EjectionShare float64
	// EjectionTime is how long an outlier stays out.
	EjectionTime time.Duration
	// UseFailing lets a replica that refuses requests be chosen when no other may be:
	// where every replica fails part of its requests, one that answers is better than none.
	UseFailing bool
	// ColdTime is what a new connection costs, which is needed for a runner that has answered
	// nothing for WarmTime. Zero means that this does not matter.
	ColdTime time.Duration
	WarmTime time.Duration
	// Sharpness has replicas drawn at random, with weights that are the expected times to this
	// power, inverted: for routers that each know little of the work of many others. Zero has the
	// best of Choices taken.
	Sharpness int
}

// Defaults of Options.
const (
	DefaultChoices           = 2
	DefaultSubsetSize        = 16
	DefaultAffinityBound     = 0.25
	DefaultHintLimit         = 32768
	DefaultQueueSlack        = 2
	DefaultMaxBatch          = 8
	DefaultReportLife        = 10 * time.Second
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
	option.Positive(&o.ReportLife, DefaultReportLife)
	option.Positive(&o.BreakerFailures, DefaultBreakerFailures)
	option.Positive(&o.BreakerDelay, DefaultBreakerDelay)
	option.Positive(&o.BreakerDelayLimit, DefaultBreakerDelayLimit)
	option.Positive(&o.EjectionShare, DefaultEjectionShare)
	option.Positive(&o.EjectionTime, DefaultEjectionTime)
	return o
}
