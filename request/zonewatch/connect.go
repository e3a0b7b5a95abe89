package zonewatch

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// LeastConnectTimeout is the least time that a connect is given: twenty times the way there and
	// back between zones of one region, and enough for a router whose processor is busy for some
	// tens of ms. It is what a lost opening packet costs a request, which the system would send
	// again after a second only.
	LeastConnectTimeout = 80 * time.Millisecond
	// MostConnectTimeout is the most, and what is given before anything was measured.
	MostConnectTimeout = 500 * time.Millisecond
	// connectFactor times what a connect takes at most as a rule is what it is given.
	connectFactor = 4
	// meanWeight and deviationWeight are those of a new connect in the averages, and deviations how
	// many times the deviation lies above what a connect takes as a rule: the figures with which
	// TCP finds its own timeouts (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// leastConnects is how many connects must have been measured.
	leastConnects = 3
	// patientEvery is after how many connects that took too long in a row, less one, the next is given
	// MostConnectTimeout: the way may have become slower than any connect that was measured, and only one
	// that succeeds shows it. A zone that is cut off is found out with half as many, and one that is back
	// is noticed some 0.4 s later in one of so many cases.
	patientEvery = 8
)

// ConnectTimes learns from connects how long one to a runner of a zone may take. The zero value is
// ready for use; it is not safe for concurrent use.
type ConnectTimes struct {
	zones map[structs.ZoneID]*connectTime
}

type connectTime struct {
	count           int
	mean, deviation time.Duration
	// timeouts counts the connects that took too long since the last one that succeeded.
	timeouts int
}

// Observe takes how long a connect that succeeded took.
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

// ObserveTimeout takes that a connect took longer than Timeout.
func (c *ConnectTimes) ObserveTimeout(zone structs.ZoneID) {
	if known := c.zones[zone]; known != nil {
		known.timeouts++
	}
}

// Timeout is how long a connect to a runner of the zone is given.
func (c *ConnectTimes) Timeout(zone structs.ZoneID) time.Duration {
	if !c.IsMeasured(zone) {
		return MostConnectTimeout
	}
	known := c.zones[zone]
	if known.timeouts%patientEvery == patientEvery-1 {
		return MostConnectTimeout
	}
	usual := known.mean + deviations*known.deviation
	return min(MostConnectTimeout, max(LeastConnectTimeout, connectFactor*usual))
}

// IsMeasured reports whether enough connects to the zone were measured.
func (c *ConnectTimes) IsMeasured(zone structs.ZoneID) bool {
	known := c.zones[zone]
	return known != nil && known.count >= leastConnects
}

// Mean is how long a connect to a runner of the zone takes on average; 0 if too few were measured.
func (c *ConnectTimes) Mean(zone structs.ZoneID) time.Duration {
	if !c.IsMeasured(zone) {
		return 0
	}
	return c.zones[zone].mean
}
