package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// RunnersToPoll returns the runners to poll for a report now, those polled the longest ago first.
func (p *Planner) RunnersToPoll(now time.Time) []fleet.Status {
	p.refillPollAllowance(now)
	if p.pollAllowance < 1 {
		return nil
	}
	candidates := p.pollCandidates(now)
	slices.SortStableFunc(candidates, func(a, b *runner) int { return a.polledAt.Compare(b.polledAt) })
	var polled []fleet.Status
	for _, each := range candidates {
		if p.pollAllowance < 1 {
			break
		}
		each.polledAt = now
		p.pollAllowance--
		polled = append(polled, each.status)
	}
	return polled
}

// pollCandidates returns the runners that may be polled now, by instance.
func (p *Planner) pollCandidates(now time.Time) []*runner {
	isEarly := now.Before(p.ordersFrom.Add(-p.options.PollInterval))
	orderable := make(orderableCounts)
	var candidates []*runner
	for _, each := range p.sorted() {
		if !each.status.MayServe() {
			continue
		}
		if each.isTakenKnown {
			orderable[each.status.Heartbeat.Service]++
			continue
		}
		if each.sent || each.isGone {
			continue
		}
		if isEarly && (!each.status.Recalled || len(each.holdings) > 0) {
			continue
		}
		if now.Before(each.pausedUntil) || now.Sub(each.changedAt) < p.options.ReportLag || now.Sub(each.polledAt) < p.options.PollInterval {
			continue
		}
		candidates = append(candidates, each)
	}
	waited := p.waitedModels()
	return slices.DeleteFunc(candidates, func(each *runner) bool {
		return orderable.isEnough(each) && !each.isWaitedFor(waited) || p.engineOf(each) == nil
	})
}

// minOrderable is the number of runners of a service with a known number of taken orders from which
// others are only polled if requests wait for one of their models. It exceeds the orders of any
// plan. A new leader would need about a minute to poll ten thousand runners.
const minOrderable = 512

// orderableCounts holds the number of runners that may be sent an order, by service.
type orderableCounts map[string]int

// isEnough reports whether the runner need not be polled just to make it available for orders.
func (k orderableCounts) isEnough(polled *runner) bool {
	return k[polled.status.Heartbeat.Service] >= minOrderable
}

// waitedModels returns the models that requests wait for, by service, as of the last snapshot.
func (p *Planner) waitedModels() map[string][]string {
	if p.snapshot == nil {
		return nil
	}
	waited := make(map[string][]string)
	for row, count := range p.snapshot.waiting {
		if count > 0 {
			waited[row.Service] = append(waited[row.Service], row.Model)
		}
	}
	return waited
}

// isWaitedFor reports whether the runner holds or has a copy of one of the models that requests wait
// for.
func (r *runner) isWaitedFor(waited map[string][]string) bool {
	return slices.ContainsFunc(waited[r.status.Heartbeat.Service], func(model string) bool {
		return r.holdings[model] != nil || r.hasCopy(model)
	})
}

// refillPollAllowance refills the allowance of polls, which prevents a new leader of a large site from
// polling thousands of runners at once.
func (p *Planner) refillPollAllowance(now time.Time) {
	if p.pollAllowanceAt.IsZero() {
		p.pollAllowance = p.options.PollBurst
	} else {
		p.pollAllowance += now.Sub(p.pollAllowanceAt).Seconds() * p.options.PollRate
	}
	p.pollAllowance = min(p.pollAllowance, p.options.PollBurst)
	p.pollAllowanceAt = now
}

// RequestPolls has runners polled that rejected requests for models they were listed with.
func (p *Planner) RequestPolls(now time.Time, instances []string) {
	for _, instance := range instances {
		if r := p.runners[instance]; r != nil && now.Sub(r.polledAt) >= p.options.PollInterval {
			r.isTakenKnown = false
		}
	}
}
