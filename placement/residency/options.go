package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
)

// Options are the settings of a Planner; zero values mean the defaults.
type Options struct {
	// AskAgain is the pause between two questions to a runner about its orders.
	AskAgain time.Duration
	// QuestionRate and QuestionBurst bound the questions to all runners: so many a
	// second, and so many at once.
	QuestionRate  float64
	QuestionBurst float64
	// ReportLag is how old the state in a report may be.
	ReportLag time.Duration
	// AdapterTime is how long an accepted adapter takes until it is usable.
	AdapterTime time.Duration
	// IdleTime is how long a model must be unused before it may be unloaded for
	// another one: a little more than the pause between two reports of routers, as they
	// tell of its use.
	IdleTime time.Duration
	// RateTime is over how long demand is averaged.
	RateTime time.Duration
	// DemandLife is how long a router's report counts.
	DemandLife time.Duration
	// ReplicaRate is how many requests a second a usual runner is taken to bear until the
	// streams tell.
	ReplicaRate float64
	// Horizon is how far ahead gains and losses are weighed.
	Horizon time.Duration
	// StoreWindow and StoreShare bound loads from the weight store: in each window
	// no more than the share of what the store allows.
	StoreWindow time.Duration
	StoreShare  float64
}

func (o Options) withDefaults() Options {
	option.Positive(&o.AskAgain, 300*time.Millisecond)
	option.Positive(&o.QuestionRate, 200)
	option.Positive(&o.QuestionBurst, 160)
	option.Positive(&o.ReportLag, 350*time.Millisecond)
	option.Positive(&o.AdapterTime, 60*time.Millisecond)
	option.Positive(&o.IdleTime, 350*time.Millisecond)
	option.Positive(&o.RateTime, 8*time.Second)
	option.Positive(&o.DemandLife, 2*time.Second)
	option.Positive(&o.ReplicaRate, 4)
	option.Positive(&o.Horizon, 10*time.Second)
	option.Positive(&o.StoreWindow, 5*time.Second)
	option.Positive(&o.StoreShare, 0.9)
	return o
}
