package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/simulate"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// The zone that every scenario runs in.
const (
	zone        structs.ZoneID = "zone"
	routerCount                = 4
	engineCount                = 8
	rowCount                   = 3
	rowBytes                   = 1 << 30
	maxBatch                   = 8
)

// What lags.
const (
	networkDelay  = time.Millisecond
	reportLag     = 250 * time.Millisecond
	eventLag      = 200 * time.Millisecond
	eventLossRate = 0.02
	// pollInterval is how often a router reads loads and cache events.
	pollInterval = 300 * time.Millisecond
)

// epochStart is the wall time at virtual time zero.
var epochStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// warmUp passes before the first arrival: the rows are loaded meanwhile.
const warmUp = 2 * time.Second

// drainTime passes after the last arrival, longer than the longest deadline.
const drainTime = 40 * time.Second

// site is one run of a scenario under a policy.
type site struct {
	seed      uint64
	policy    string
	scenario  scenario
	scheduler simulate.Scheduler
	random    *rand.Rand
	engines   []*engineHost
	byID      map[structs.RunnerID]*engineHost
	routers   []*routerHost
	calls     []*call
	byRequest map[structs.RequestID]*call
	// coming counts the refused callers that will come back.
	coming     int
	violations []Violation
	// wrap, when set, stands between the routers' decisions and their shells.
	wrap func(decider) decider
}

func newSite(seed uint64, policy string, given scenario) *site {
	s := &site{
		seed:      seed,
		policy:    policy,
		scenario:  given,
		random:    rand.New(rand.NewPCG(seed, arrivalsSource)),
		byID:      map[structs.RunnerID]*engineHost{},
		byRequest: map[structs.RequestID]*call{},
	}
	for index := range engineCount {
		host := newEngineHost(s, index)
		s.engines = append(s.engines, host)
		s.byID[host.id] = host
	}
	return s
}

// run lets the arrivals come and everything end.
func (s *site) run() {
	for index := range routerCount {
		s.routers = append(s.routers, newRouterHost(s, index))
	}
	last := warmUp
	for _, stream := range s.scenario.streams {
		for _, arriving := range stream.arrivals(s.random) {
			s.scheduler.At(warmUp+arriving.arrivedAt, func() { s.arrive(arriving) })
		}
		last = max(last, warmUp+stream.until)
	}
	s.scheduler.Run(last + drainTime)
	for s.coming > 0 {
		s.scheduler.Run(s.scheduler.Now() + drainTime)
	}
	s.scheduler.Run(s.scheduler.Now() + drainTime)
	s.check()
}

func (s *site) now() time.Time { return epochStart.Add(s.scheduler.Now()) }

// arrive hands a call to one of the routers.
func (s *site) arrive(arriving *call) {
	arriving.arrivedAt = s.scheduler.Now()
	arriving.request.ID = structs.RequestID(fmt.Sprintf("request-%d", len(s.calls)))
	arriving.request.ArrivedAt = s.now()
	arriving.request.DeadlineAt = s.now().Add(arriving.patience)
	s.calls = append(s.calls, arriving)
	s.byRequest[arriving.request.ID] = arriving
	s.routers[arriving.router].step(router.Arrived{Request: arriving.request})
}

// dispatched notes that a router sent an attempt.
func (s *site) dispatched(send router.SendAttempt) {
	target := s.byRequest[send.Attempt.Request()]
	if target.attempts == 0 {
		target.estimated = send.EstimatedWait
		target.waited = send.Waited
	}
	target.attempts++
}

func (s *site) delivered(id structs.RequestID, token structs.Token) {
	target := s.byRequest[id]
	if target.tokens == 0 {
		target.firstAt = s.scheduler.Now()
	}
	if token.Index != target.tokens {
		s.violate(ruleWhole, target, fmt.Sprintf("token %d came as token %d", token.Index, target.tokens))
	}
	target.tokens++
}

// ended notes a terminal answer; refusal is nil for a whole answer.
func (s *site) ended(id structs.RequestID, refusal *structs.Rejection) {
	target := s.byRequest[id]
	target.terminals++
	target.endedAt = s.scheduler.Now()
	if refusal == nil {
		return
	}
	kept := *refusal
	target.refusal = &kept
	s.comeBack(target)
}

// comeBack lets a refused caller return once, when it was told to.
func (s *site) comeBack(refused *call) {
	if !s.scenario.returns || refused.returned || refused.refusal.Error.RetryAfter <= 0 {
		return
	}
	again := &call{
		request:  refused.request,
		label:    refused.label,
		patience: refused.patience,
		router:   (refused.router + 1) % routerCount,
		returned: true,
	}
	s.coming++
	s.scheduler.After(refused.refusal.Error.RetryAfter, func() {
		s.coming--
		s.arrive(again)
	})
}

// view is what the zone's group tells the routers.
func (s *site) view() structs.ZoneView {
	view := structs.ZoneView{Index: 1, Table: structs.TableDelta{Full: true, Revision: 1}, Placement: &structs.Placement{}}
	for _, name := range rowNames() {
		view.Table.Rows = append(view.Table.Rows, structs.Row{Name: name, MaxReplicas: engineCount})
		view.Table.Grants = append(view.Table.Grants, structs.Grant{Row: name, Zone: zone, Limit: engineCount, Sequence: 1})
	}
	for _, engine := range s.engines {
		view.Placement.Runners = append(view.Placement.Runners, structs.RunnerInfo{ID: engine.id, Zone: zone, Address: string(engine.id), Incarnation: 1})
		for _, name := range rowNames() {
			view.Placement.Replicas = append(view.Placement.Replicas, structs.Replica{Row: name, Runner: engine.id, Incarnation: 1, State: structs.ReplicaReady})
		}
	}
	return view
}

func rowNames() []structs.RowName {
	var names []structs.RowName
	for index := range rowCount {
		names = append(names, structs.RowName(fmt.Sprintf("row-%d", index)))
	}
	return names
}

func routerID(index int) structs.DaemonID {
	return structs.DaemonID(fmt.Sprintf("router-%d", index))
}
