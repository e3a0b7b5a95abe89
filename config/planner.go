package config

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
)

// Planner holds the settings of the scheduler that a site may change. A field that is
// zero takes the scheduler's default.
type Planner struct {
	// ReserveBytes is how much memory is kept free on one runner of each role; 0
	// keeps none.
	ReserveBytes int64 `yaml:"reserve_bytes"`
	// LatencyColdStartWorth and IdleColdStartWorth say, for the two objectives, how
	// many seconds of an idle runner one second of cold start is worth.
	LatencyColdStartWorth float64 `yaml:"latency_cold_start_worth"`
	IdleColdStartWorth    float64 `yaml:"idle_cold_start_worth"`
	// MinimumKeepAlive and MaximumKeepAlive bound how long an idle replica stays.
	MinimumKeepAlive time.Duration `yaml:"minimum_keep_alive"`
	MaximumKeepAlive time.Duration `yaml:"maximum_keep_alive"`
}

// Bounds of the planner's settings.
const (
	maximumReserveBytes   = 1 << 40
	minimumColdStartWorth = 0.01
	maximumColdStartWorth = 100_000
	longestMinimumKeep    = 24 * time.Hour
	longestMaximumKeep    = 30 * 24 * time.Hour
)

// PlanSettings returns the scheduler's settings for the site.
func (s Site) PlanSettings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Objective = s.Objective
	replace(&settings.ReserveBytes, s.Planner.ReserveBytes)
	replace(&settings.LatencyColdStartWorth, s.Planner.LatencyColdStartWorth)
	replace(&settings.IdleColdStartWorth, s.Planner.IdleColdStartWorth)
	replace(&settings.MinKeepAlive, s.Planner.MinimumKeepAlive)
	replace(&settings.MaxKeepAlive, s.Planner.MaximumKeepAlive)
	return settings
}

// replace sets the value to what is set, if anything is.
func replace[T comparable](value *T, set T) {
	var nothing T
	if set != nothing {
		*value = set
	}
}

// planner checks the settings that result from the file and the defaults.
func (k *checker) planner(settings scheduler.Settings) {
	const key = "site.planner."
	k.size(key+"reserve_bytes", settings.ReserveBytes, 0, maximumReserveBytes)
	k.worth(key+"latency_cold_start_worth", settings.LatencyColdStartWorth)
	k.worth(key+"idle_cold_start_worth", settings.IdleColdStartWorth)
	if settings.LatencyColdStartWorth < settings.IdleColdStartWorth {
		k.warn(key+"latency_cold_start_worth", settings.LatencyColdStartWorth,
			"is less than idle_cold_start_worth, so rows with objective idle are kept longer than those with latency",
			"Give latency the larger worth.")
	}
	k.within(key+"minimum_keep_alive", settings.MinKeepAlive, time.Millisecond, longestMinimumKeep)
	k.within(key+"maximum_keep_alive", settings.MaxKeepAlive, time.Second, longestMaximumKeep)
	if settings.MinKeepAlive > settings.MaxKeepAlive {
		k.add(key+"minimum_keep_alive", settings.MinKeepAlive, "is longer than maximum_keep_alive",
			"Shorten it, or raise maximum_keep_alive.")
	}
}

// worth checks a worth of a cold start; what is no number is out of range too.
func (k *checker) worth(key string, value float64) {
	if !(value >= minimumColdStartWorth && value <= maximumColdStartWorth) {
		k.add(key, value, "is out of range",
			fmt.Sprintf("Write a number of seconds from %g to %d.", minimumColdStartWorth, maximumColdStartWorth))
	}
}
