package residency

import "time"

const (
	// paceSmoothing is the weight of a new stream in a runner's usual pace.
	paceSmoothing = 0.3
	// minPaceStreams is how many streams must have been seen before a runner's pace
	// counts.
	minPaceStreams = 2
	// slowFactor is by how much a runner must be slower than the quickest one with the
	// same model to count as slow.
	slowFactor = 1.15
	// slowHarm is the part of the requests on a slow runner that are expected to be
	// late because of it.
	slowHarm = 0.15
)

// pace is a runner's usual pace for one model.
type pace struct {
	gap     float64
	streams int
}

// paces holds the paces of the runners for each model; the rows name no adapter.
type paces map[Row]map[string]*pace

func (p paces) add(seen Pace) {
	row := Row{Service: seen.Service, Model: seen.Model}
	if p[row] == nil {
		p[row] = make(map[string]*pace)
	}
	known := p[row][seen.Instance]
	if known == nil {
		known = &pace{gap: seen.Gap.Seconds()}
		p[row][seen.Instance] = known
	}
	known.gap += paceSmoothing * (seen.Gap.Seconds() - known.gap)
	known.streams++
}

// slowness is how many times as long as the quickest runner with the same model a
// runner takes; 1 if nothing is known. Of several models the least counts, as a
// runner may be slow with one because of what else it does.
func (p paces) slowness(instance string) float64 {
	least := 0.0
	for _, runners := range p {
		own := runners[instance]
		if own == nil || own.streams < minPaceStreams {
			continue
		}
		quickest := own.gap
		for _, other := range runners {
			if other.streams >= minPaceStreams {
				quickest = min(quickest, other.gap)
			}
		}
		if len(runners) > 1 && quickest > 0 && (least == 0 || own.gap/quickest < least) {
			least = own.gap / quickest
		}
	}
	return max(1, least)
}

// forget drops the paces of runners that are listed no more.
func (p paces) forget(isListed func(instance string) bool) {
	for row, runners := range p {
		for instance := range runners {
			if !isListed(instance) {
				delete(runners, instance)
			}
		}
		if len(runners) == 0 {
			delete(p, row)
		}
	}
}

// ObservePace takes the pace of streams that routers saw.
func (p *Planner) ObservePace(_ time.Time, seen []Pace) {
	for _, each := range seen {
		if each.Gap > 0 && p.runners[each.Instance] != nil {
			p.paces.add(each)
		}
	}
}

// IsSlow reports whether a runner is known to be slower than others.
func (p *Planner) IsSlow(instance string) bool { return p.paces.slowness(instance) > slowFactor }
