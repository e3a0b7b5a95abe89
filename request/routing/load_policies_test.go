package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

// balanced uses one Balancer per router.
type balanced struct {
	load      *load
	balancers []*Balancer
	// dropsReports reports whether a router receives no load reports.
	dropsReports func(router int) bool
}

func newBalanced(l *load, options Options) *balanced {
	p := &balanced{load: l}
	var placed structs.Placement
	for number := range l.engines {
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: runnerID(number)})
	}
	for model, holders := range l.holders {
		for _, number := range holders {
			placed.Replicas = append(placed.Replicas, structs.Replica{Row: rowName(model), Runner: runnerID(number), State: structs.ReplicaReady})
		}
	}
	for router := range loadRouters {
		options.Daemon = structs.DaemonID(fmt.Sprint("router-", router))
		balancer := New(options, rand.New(rand.NewPCG(uint64(router), 3)))
		balancer.SetPlacement(placed)
		for number, each := range l.engines {
			balancer.SetBatch(runnerID(number), loadSlots)
			balancer.SetPace(runnerID(number), paceOf(each))
		}
		p.balancers = append(p.balancers, balancer)
	}
	return p
}

func paceOf(e *engine) pace.Runner {
	return pace.Runner{
		PromptRate: prefillRate / e.slowness, Slowness: e.slowness,
		Event: time.Duration(eventTokens * stepTime * e.slowness * float64(time.Second)),
	}
}

func runnerID(number int) structs.RunnerID { return structs.RunnerID(fmt.Sprintf("runner-%d", number)) }
func rowName(model int) structs.RowName    { return structs.RowName(fmt.Sprintf("model-%d", model)) }

func at(now float64) time.Time { return start.Add(time.Duration(now * float64(time.Second))) }

func workOf(s *stream) *Work {
	size := promptSizes[s.size]
	hash := uint64(s.model*len(promptSizes)+s.size) + 1
	return &Work{Prefixes: []uint64{hash}, Lengths: []int64{size.shared}, Prompt: size.shared + size.own}
}

func (p *balanced) choose(now float64, s *stream) int { return p.chooseFor(now, s, workOf(s)) }

func (p *balanced) chooseFor(now float64, s *stream, work *Work) int {
	choice, found := p.balancers[s.router].PickFor(at(now), rowName(s.model), work)
	if !found {
		return -1
	}
	choice.Sent(at(now), work.Prefixes)
	s.choice = choice
	var number int
	_, _ = fmt.Sscanf(string(choice.Runner()), "runner-%d", &number)
	return number
}

func (p *balanced) done(now float64, s *stream) { s.choice.Done(at(now), OutcomeSuccess) }

func (p *balanced) observe(now float64, written []runnerReport) {
	for router, balancer := range p.balancers {
		if p.dropsReports != nil && p.dropsReports(router) {
			continue
		}
		for number, each := range written {
			balancer.ObserveLoad(runnerID(number), structs.LoadReport{Running: each.requests, ObservedAt: at(now)})
			balancer.ObservePrefillShare(runnerID(number), each.prefillShare)
		}
	}
}

// byCount compares two samples by the request counts of the router and, for runners reported as half full,
// of other routers; a runner with a cached prefix may exceed the better one by 0.03 of a batch. It
// ignores the speed of runners.
type byCount struct {
	load     *load
	inFlight [loadRouters][loadRunners]int
	others   [loadRouters][loadRunners]int
	answered [loadRouters][loadRunners]float64
	cachedOn [loadRouters]map[[2]int]int
}

func (p *byCount) score(now float64, router, number int) float64 {
	score := float64(p.inFlight[router][number]+p.others[router][number]+1) / loadSlots
	if at := p.answered[router][number]; at == 0 || now-at > 8 {
		score += 0.5 / loadSlots
	}
	return score
}

func (p *byCount) choose(now float64, s *stream) int {
	holders := p.load.holders[s.model]
	first := p.load.random.IntN(len(holders))
	second := (first + 1 + p.load.random.IntN(len(holders)-1)) % len(holders)
	best := holders[first]
	if p.score(now, s.router, holders[second]) < p.score(now, s.router, best) {
		best = holders[second]
	}
	if p.cachedOn[s.router] == nil {
		p.cachedOn[s.router] = map[[2]int]int{}
	}
	key := [2]int{s.model, s.size}
	if known, isKnown := p.cachedOn[s.router][key]; isKnown && p.score(now, s.router, known-1) <= p.score(now, s.router, best)+0.03 {
		best = known - 1
	}
	if p.inFlight[s.router][best]+p.others[s.router][best] >= loadSlots+2 && p.inFlight[s.router][best] > 0 {
		return -1
	}
	p.cachedOn[s.router][key] = best + 1
	p.inFlight[s.router][best]++
	return best
}

func (p *byCount) done(now float64, s *stream) {
	p.inFlight[s.router][s.runner]--
	p.answered[s.router][s.runner] = now
}

func (p *byCount) observe(_ float64, written []runnerReport) {
	for router := range loadRouters {
		for number, each := range written {
			p.others[router][number] = 0
			if each.requests >= loadSlots/2 {
				p.others[router][number] = max(0, each.requests-p.inFlight[router][number])
			}
		}
	}
}

// omniscient knows the current state of all runners and minimizes the time of the request plus the delay
// of those already there.
type omniscient struct{ load *load }

func (p omniscient) choose(now float64, s *stream) int {
	best, lowest := -1, math.Inf(1)
	for _, number := range p.load.holders[s.model] {
		e := p.load.engines[number]
		rate := prefillRate / e.slowness
		pending := int64(0)
		for _, other := range e.streams {
			pending += other.prefillLeft
		}
		for _, other := range e.queue {
			pending += other.prefillLeft
		}
		own := float64(e.uncached(s)) / rate
		requests := float64(len(e.streams) + len(e.queue))
		serviceTime := (float64(pending)/rate + own + answerTokens*stepTime*e.slowness) / (1 - min(maxPrefillShare, e.prefillShare(now)))
		cost := serviceTime*(1+max(0, requests+1-loadSlots)/loadSlots) + requests*own
		if cost < lowest {
			best, lowest = number, cost
		}
	}
	return best
}

func (omniscient) done(float64, *stream)           {}
func (omniscient) observe(float64, []runnerReport) {}
