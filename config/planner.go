package config

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
)

// Planner holds the scheduler settings of a site. Zero fields take the scheduler's
// defaults.
type Planner struct {
	// ReserveBytes is the memory kept free on one runner of each role.
	ReserveBytes int64 `yaml:"reserve_bytes"`
	// LatencyColdStartWorth and IdleColdStartWorth are the cost of one second of cold
	// start, in seconds of idle runner time, for the two objectives.
	LatencyColdStartWorth float64 `yaml:"latency_cold_start_worth"`
	IdleColdStartWorth    float64 `yaml:"idle_cold_start_worth"`
	// MinimumKeepAlive and MaximumKeepAlive bound how long an idle replica is kept.
	MinimumKeepAlive time.Duration `yaml:"minimum_keep_alive"`
	MaximumKeepAlive time.Duration `yaml:"maximum_keep_alive"`
}

// Bounds of the planner settings.
const (
	maximumReserveBytes   = 1 << 40
	minimumColdStartWorth = 0.01
	maximumColdStartWorth = 100_000
	minimumKeepAliveLimit = 24 * time.Hour
	maximumKeepAliveLimit = 30 * 24 * time.Hour
)

// PlanSettings returns the scheduler's settings for the site.
func (s Site) PlanSettings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Objective = s.Objective
	setNonZero(&settings.ReserveBytes, s.Planner.ReserveBytes)
	setNonZero(&settings.LatencyColdStartWorth, s.Planner.LatencyColdStartWorth)
	setNonZero(&settings.IdleColdStartWorth, s.Planner.IdleColdStartWorth)
	setNonZero(&settings.MinKeepAlive, s.Planner.MinimumKeepAlive)
	setNonZero(&settings.MaxKeepAlive, s.Planner.MaximumKeepAlive)
	return settings
}

// setNonZero assigns setting to value unless it is zero.
func setNonZero[T comparable](value *T, setting T) {
	var zero T
	if setting != zero {
		*value = setting
	}
}

// planner checks the merged scheduler settings.
func (k *checker) planner(settings scheduler.Settings) {
	const key = "site.planner."
	k.byteRange(key+"reserve_bytes", settings.ReserveBytes, 0, maximumReserveBytes)
	k.coldStartWorth(key+"latency_cold_start_worth", settings.LatencyColdStartWorth)
	k.coldStartWorth(key+"idle_cold_start_worth", settings.IdleColdStartWorth)
	if settings.LatencyColdStartWorth < settings.IdleColdStartWorth {
		k.warn(key+"latency_cold_start_worth", settings.LatencyColdStartWorth,
			"is less than idle_cold_start_worth, so rows with objective idle are kept longer than those with latency",
			"Set the larger value for latency.")
	}
	k.durationRange(key+"minimum_keep_alive", settings.MinKeepAlive, time.Millisecond, minimumKeepAliveLimit)
	k.durationRange(key+"maximum_keep_alive", settings.MaxKeepAlive, time.Second, maximumKeepAliveLimit)
	if settings.MinKeepAlive > settings.MaxKeepAlive {
		k.add(key+"minimum_keep_alive", settings.MinKeepAlive, "is longer than maximum_keep_alive",
			"Shorten it, or raise maximum_keep_alive.")
	}
}

// coldStartWorth checks the cost of a cold start. NaN is out of range.
func (k *checker) coldStartWorth(key string, value float64) {
	if !(value >= minimumColdStartWorth && value <= maximumColdStartWorth) {
		k.add(key, value, "is out of range",
			fmt.Sprintf("Write a number of seconds from %g to %d.", minimumColdStartWorth, maximumColdStartWorth))
	}
}
