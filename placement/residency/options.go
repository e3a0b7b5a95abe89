package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
)

// Options are the settings of a Planner; zero values mean the defaults.
type Options struct {
	// PollInterval is the minimum time between two polls of a runner for its report.
	PollInterval time.Duration
	// PollRate and PollBurst bound the polls of all runners: their number per second, and
	// at once.
	PollRate  float64
	PollBurst float64
	// ReportLag is the maximum age of the state in a report.
	ReportLag time.Duration
	// AdapterTime is the time from the acceptance of an adapter until it is usable.
	AdapterTime time.Duration
	// IdleTime is the time without use after which a model may be evicted. It must exceed the
	// interval between two reports of a router, which show the use.
	IdleTime time.Duration
	// RateTime is the averaging time of demand.
	RateTime time.Duration
	// DemandTTL is how long the report of a router is valid.
	DemandTTL time.Duration
	// ReplicaRate is the assumed capacity of a typical runner in requests per second until enough
	// streams have been observed.
	ReplicaRate float64
	// Horizon is the time over which gains and costs are computed.
	Horizon time.Duration
	// Regions maps zones to regions. Plans consider regions only if it names more than one.
	Regions map[string]string
	// StoreWindow and StoreShare bound loads from the weight store: in each window, to the share of
	// what the store allows.
	StoreWindow time.Duration
	StoreShare  float64
}

func (o Options) withDefaults() Options {
	option.Positive(&o.PollInterval, 300*time.Millisecond)
	option.Positive(&o.PollRate, 200)
	option.Positive(&o.PollBurst, 160)
	option.Positive(&o.ReportLag, 350*time.Millisecond)
	option.Positive(&o.AdapterTime, 60*time.Millisecond)
	option.Positive(&o.IdleTime, 350*time.Millisecond)
	option.Positive(&o.RateTime, 8*time.Second)
	option.Positive(&o.DemandTTL, 2*time.Second)
	option.Positive(&o.ReplicaRate, 4)
	option.Positive(&o.Horizon, 10*time.Second)
	option.Positive(&o.StoreWindow, 5*time.Second)
	option.Positive(&o.StoreShare, 0.9)
	return o
}
