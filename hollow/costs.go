package hollow

import "time"

// part is a part of the decision code whose processor time is measured.
type part int

// The parts.
const (
	partTable part = iota
	partDelta
	partZoneApply
	partZoneView
	partRaft
	partPlan
	partRouterView
	partRouterRequest
	partRouterToken
	partRouterTick
	partRouterDemand
	partEngine
	partCodec
	partCount
)

var partNames = [partCount]string{
	"table_apply", "table_delta", "zone_apply", "zone_view", "raft", "leader_decide", "router_view",
	"router_request", "router_token", "router_tick", "router_demand", "engine", "codec",
}

// sampleEvery is how many calls of the frequent parts share one measurement.
const sampleEvery = 16

// costs sums up real time by part: all calls are counted, and one in sampleEvery
// of the frequent ones is timed. On a busy machine the time includes what other
// processes took in the middle of a call.
type costs struct {
	calls   [partCount]uint64
	sampled [partCount]uint64
	time    [partCount]time.Duration
}

// whole times every call of a part.
func (c *costs) whole(which part, call func()) {
	c.calls[which]++
	c.measure(which, call)
}

// sample times some calls of a part.
func (c *costs) sample(which part, call func()) {
	c.calls[which]++
	if c.calls[which]%sampleEvery != 0 {
		call()
		return
	}
	c.measure(which, call)
}

func (c *costs) measure(which part, call func()) {
	began := time.Now()
	call()
	c.time[which] += time.Since(began)
	c.sampled[which]++
}

// minus returns what was added since earlier.
func (c costs) minus(earlier costs) costs {
	for which := range partCount {
		c.calls[which] -= earlier.calls[which]
		c.sampled[which] -= earlier.sampled[which]
		c.time[which] -= earlier.time[which]
	}
	return c
}

func (c *costs) add(other costs) {
	for which := range partCount {
		c.calls[which] += other.calls[which]
		c.sampled[which] += other.sampled[which]
		c.time[which] += other.time[which]
	}
}

// seconds returns the time of all calls of a part, scaled up from the timed ones.
func (c *costs) seconds(which part) float64 {
	if c.sampled[which] == 0 {
		return 0
	}
	return c.time[which].Seconds() * float64(c.calls[which]) / float64(c.sampled[which])
}
