package residency

import "github.com/lotusferry/lotusferry/placement/fleet"

// listedLoadShare is the part of its places from which a runner's load is listed: below it,
// runners are alike to a request, and most runners are not worth the bytes.
const listedLoadShare = 0.5

// Loads lists the runners with many requests, as of the last plan. Each router knows its own
// only, which on a site with many routers are few.
func (p *Planner) Loads() []fleet.Load {
	if p.tally == nil {
		return nil
	}
	var listed []fleet.Load
	for _, known := range p.tally.sorted {
		instance := known.status.Heartbeat.Instance
		requests := p.tally.loads[instance]
		if requests > 0 && float64(requests) >= listedLoadShare*float64(known.status.Heartbeat.Slots) {
			listed = append(listed, fleet.Load{Instance: instance, Requests: requests})
		}
	}
	return listed
}
