package zonewatch

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MinConnectTimeout is the minimum timeout of a connect: twenty round trips between zones of
	// one region, with a margin for a router whose CPU is busy for some tens of milliseconds. It is
	// the delay caused by a lost SYN, which the kernel retransmits only after a second.
	MinConnectTimeout = 80 * time.Millisecond
	// MaxConnectTimeout is the maximum timeout, also used before anything was measured.
	MaxConnectTimeout = 500 * time.Millisecond
	// connectFactor is the ratio of the timeout to the estimated maximum connect time.
	connectFactor = 4
	// meanWeight and deviationWeight are the weights of a new sample in the averages, and
	// deviationFactor the multiple of the deviation above the mean in the estimated maximum, as in
	// the retransmission timer of TCP (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// minConnects is the minimum number of measured connects for an estimate.
	minConnects = 3
	// fullTimeoutEvery makes every eighth connect of a series of timeouts use MaxConnectTimeout:
	// latency may have grown beyond all measured connects, and only a successful one shows it. The loss
	// of a zone is detected with fewer connects; detection of its recovery may take 0.4 s longer.
	fullTimeoutEvery = 8
)

// ConnectTimes estimates connect timeouts per zone. The zero value is ready for use. It is not
// safe for concurrent use.
type ConnectTimes struct {
	zones map[structs.ZoneID]*connectTime
}

type connectTime struct {
	count           int
	mean, deviation time.Duration
	// timeouts counts the timeouts since the last successful connect.
	timeouts int
}

// Observe records the duration of a successful connect.
func (c *ConnectTimes) Observe(zone structs.ZoneID, took time.Duration) {
	if c.zones == nil {
		c.zones = make(map[structs.ZoneID]*connectTime)
	}
	known := c.zones[zone]
	if known == nil {
		known = &connectTime{}
		c.zones[zone] = known
	}
	known.count++
	known.timeouts = 0
	if known.count == 1 {
		known.mean, known.deviation = took, took/2
		return
	}
	known.deviation += time.Duration(deviationWeight * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(meanWeight * float64(took-known.mean))
}

// ObserveTimeout records that a connect exceeded its Timeout.
func (c *ConnectTimes) ObserveTimeout(zone structs.ZoneID) {
	if known := c.zones[zone]; known != nil {
		known.timeouts++
	}
}

// Timeout returns the timeout for the next connect to a runner of the zone.
func (c *ConnectTimes) Timeout(zone structs.ZoneID) time.Duration {
	if !c.IsMeasured(zone) {
		return MaxConnectTimeout
	}
	known := c.zones[zone]
	if known.timeouts%fullTimeoutEvery == fullTimeoutEvery-1 {
		return MaxConnectTimeout
	}
	usual := known.mean + deviationFactor*known.deviation
	return min(MaxConnectTimeout, max(MinConnectTimeout, connectFactor*usual))
}

// IsMeasured reports whether enough connects to the zone were measured.
func (c *ConnectTimes) IsMeasured(zone structs.ZoneID) bool {
	known := c.zones[zone]
	return known != nil && known.count >= minConnects
}

// Mean returns the average connect time to runners of the zone; 0 if too few were measured.
func (c *ConnectTimes) Mean(zone structs.ZoneID) time.Duration {
	if !c.IsMeasured(zone) {
		return 0
	}
	return c.zones[zone].mean
}
