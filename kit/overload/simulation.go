package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/simulate"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// The configuration of the simulated zone.
const (
	zone        structs.ZoneID = "zone"
	routerCount                = 4
	engineCount                = 8
	rowCount                   = 3
	rowBytes                   = 1 << 30
	maxBatch                   = 8
)

// Delays and losses.
const (
	networkDelay  = time.Millisecond
	reportLag     = 250 * time.Millisecond
	eventLag      = 200 * time.Millisecond
	eventLossRate = 0.02
	// pollInterval is the interval at which a router polls loads and cache events.
	pollInterval = 300 * time.Millisecond
)

// epochStart is the wall-clock time at virtual time zero.
var epochStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// warmUp is the time before the first arrival, in which the engines load the rows.
const warmUp = 2 * time.Second

// drainTime is the time simulated after the last arrival. It exceeds the longest
// request timeout.
const drainTime = 40 * time.Second

// simulation is one run of a scenario under a policy.
type simulation struct {
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
	// pendingRetries counts the scheduled retries of refused calls.
	pendingRetries int
	violations     []Violation
	// wrapCore, if set, wraps the core of each router.
	wrapCore func(routerCore) routerCore
}

func newSimulation(seed uint64, policy string, given scenario) *simulation {
	s := &simulation{
		seed:      seed,
		policy:    policy,
		scenario:  given,
		random:    rand.New(rand.NewPCG(seed, arrivalSeed)),
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

// run simulates all arrivals until every call has ended, and checks the result.
func (s *simulation) run() {
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
	for s.pendingRetries > 0 {
		s.scheduler.Run(s.scheduler.Now() + drainTime)
	}
	s.scheduler.Run(s.scheduler.Now() + drainTime)
	s.check()
}

func (s *simulation) now() time.Time { return epochStart.Add(s.scheduler.Now()) }

// arrive submits a call to its router.
func (s *simulation) arrive(arriving *call) {
	arriving.arrivedAt = s.scheduler.Now()
	arriving.request.ID = structs.RequestID(fmt.Sprintf("request-%d", len(s.calls)))
	arriving.request.ArrivedAt = s.now()
	arriving.request.DeadlineAt = s.now().Add(arriving.timeout)
	s.calls = append(s.calls, arriving)
	s.byRequest[arriving.request.ID] = arriving
	s.routers[arriving.router].step(router.Arrived{Request: arriving.request})
}

// recordAttempt records an attempt sent by a router.
func (s *simulation) recordAttempt(send router.SendAttempt) {
	target := s.byRequest[send.Attempt.Request()]
	if target.attempts == 0 {
		target.estimated = send.EstimatedWait
		target.waited = send.Waited
	}
	target.attempts++
}

func (s *simulation) recordToken(id structs.RequestID, token structs.Token) {
	target := s.byRequest[id]
	if target.tokens == 0 {
		target.firstAt = s.scheduler.Now()
	}
	if token.Index != target.tokens {
		s.addViolation(ruleWhole, target, fmt.Sprintf("token %d came as token %d", token.Index, target.tokens))
	}
	target.tokens++
}

// recordEnd records a terminal answer; refusal is nil for a complete answer.
func (s *simulation) recordEnd(id structs.RequestID, refusal *structs.Rejection) {
	target := s.byRequest[id]
	target.terminals++
	target.endedAt = s.scheduler.Now()
	if refusal == nil {
		return
	}
	kept := *refusal
	target.refusal = &kept
	s.scheduleRetry(target)
}

// scheduleRetry schedules the retry of a refused call if the scenario allows one.
func (s *simulation) scheduleRetry(refused *call) {
	if !s.scenario.retries || refused.retried || refused.refusal.Error.RetryAfter <= 0 {
		return
	}
	again := &call{
		request: refused.request,
		label:   refused.label,
		timeout: refused.timeout,
		router:  (refused.router + 1) % routerCount,
		retried: true,
	}
	s.pendingRetries++
	s.scheduler.After(refused.refusal.Error.RetryAfter, func() {
		s.pendingRetries--
		s.arrive(again)
	})
}

// view returns the routers' view of the zone.
func (s *simulation) view() structs.ZoneView {
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
