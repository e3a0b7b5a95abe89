package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	claimModelRequests = 120
	claimModelSpan     = 60 * time.Second
	// claimModelSettleTime is long enough for every claim to be resolved after the last fault.
	claimModelSettleTime = 20 * time.Minute
	claimModelStep       = 100 * time.Millisecond
)

// claimFault is a safeguard that the model omits, to show that its checks detect it.
type claimFault uint8

const (
	claimFaultNone claimFault = iota
	claimFaultNoFence
	claimFaultNoChoiceGuard
	claimFaultTrustNewIncarnation
	claimFaultManyHomes
)

// claimModel drives several router.Core in two zones against a zone.State and a Core each.
// Messages are lost, delayed, duplicated and partitioned between the zones; routers, leaders
// and engines crash, and routers are paused, at any step.
type claimModel struct {
	random           *rand.Rand
	fault            claimFault
	now              time.Time
	faultFree        bool
	queue            []claimEvent
	sequence         int
	zones            map[structs.ZoneID]*claimZone
	routers          []*claimRouter
	engines          map[string]*claimEngine
	partitionedUntil time.Time
	executions       map[structs.RequestID]int
	byKey            map[string]int
	key              map[structs.RequestID]string
	outcomes         map[structs.RequestID]string
	counts           map[string]int
	violations       []string
}

type claimEvent struct {
	at       time.Time
	sequence int
	act      func()
}

type claimZone struct {
	id      structs.ZoneID
	state   *zone.State
	core    *Core
	epoch   structs.Epoch
	renewed map[structs.RequestID]time.Time
	// leaderlessUntil is when the zone has a leader again.
	leaderlessUntil time.Time
}

type claimRouter struct {
	id      structs.DaemonID
	zone    structs.ZoneID
	session structs.SessionID
	core    *router.Core
	// open maps the requests whose claims may be held to the home zones of their keys.
	open map[structs.RequestID]structs.ZoneID
	// savedAnswers are the answers on its disk.
	savedAnswers map[structs.ClaimKey][]byte
	pausedUntil  time.Time
	// renewalsLostUntil is when its claims are renewed again.
	renewalsLostUntil time.Time
}

type claimEngine struct {
	id          structs.RunnerID
	zone        structs.ZoneID
	incarnation structs.Incarnation
	records     map[structs.RequestID]*claimRun
}

type claimRun struct {
	fenced, started, finished bool
}

func newClaimModel(seed uint64, fault claimFault) *claimModel {
	m := &claimModel{
		random: rand.New(rand.NewPCG(seed, 1)), fault: fault, now: claimTime,
		zones: map[structs.ZoneID]*claimZone{}, engines: map[string]*claimEngine{},
		executions: map[structs.RequestID]int{}, byKey: map[string]int{}, key: map[structs.RequestID]string{},
		outcomes: map[structs.RequestID]string{}, counts: map[string]int{},
	}
	for _, id := range []structs.ZoneID{"a", "b"} {
		m.zones[id] = &claimZone{id: id, state: zone.New(id)}
		m.startLeader(m.zones[id])
		for number := range 2 {
			name := fmt.Sprintf("%s-%d", id, number)
			m.engines[name] = &claimEngine{id: structs.RunnerID(name), zone: id, incarnation: 1, records: map[structs.RequestID]*claimRun{}}
			m.routers = append(m.routers, &claimRouter{id: structs.DaemonID(name), zone: id, savedAnswers: map[structs.ClaimKey][]byte{}})
		}
	}
	for _, r := range m.routers {
		m.startRouter(r)
	}
	return m
}

func (m *claimModel) startLeader(z *claimZone) {
	z.epoch++
	z.core = New(Options{Zone: z.id})
	z.renewed = map[structs.RequestID]time.Time{}
}

func (m *claimModel) startRouter(r *claimRouter) {
	r.session++
	r.open = map[structs.RequestID]structs.ZoneID{}
	zones := []structs.ZoneID{"a", "b"}
	if m.fault == claimFaultManyHomes {
		zones = []structs.ZoneID{r.zone}
	}
	r.core = router.New(router.Options{
		Zone: r.zone, Zones: zones, Daemon: r.id, Address: string(r.id), Session: r.session,
		Random:  rand.New(rand.NewPCG(m.random.Uint64(), 2)),
		Routing: routing.Options{MaxBatch: 1, QueueSlack: 1},
	})
	m.sendView(r)
}

// sendView sends the router its zone's placement: the row is ready on every engine of the
// zone.
func (m *claimModel) sendView(r *claimRouter) {
	view := structs.ZoneView{Index: uint64(m.now.UnixMilli()), Placement: &structs.Placement{}}
	view.Table = structs.TableDelta{Full: true, Revision: 1, Rows: []structs.Row{{Name: "row", MaxReplicas: 4}}}
	view.Table.Grants = []structs.Grant{{Row: "row", Zone: r.zone, Limit: 2, Sequence: 1}}
	for number := range 2 {
		name := fmt.Sprintf("%s-%d", r.zone, number)
		e := m.engines[name]
		view.Placement.Runners = append(view.Placement.Runners, structs.RunnerInfo{ID: e.id, Address: name, Incarnation: e.incarnation})
		view.Placement.Replicas = append(view.Placement.Replicas, structs.Replica{Row: "row", Runner: e.id, Incarnation: e.incarnation, State: structs.ReplicaReady})
	}
	m.step(r, router.ViewChanged{View: view})
}

// chance returns true with probability 1/n, and false in the fault-free phase.
func (m *claimModel) chance(n int) bool { return !m.faultFree && m.random.IntN(n) == 0 }

func (m *claimModel) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

func (m *claimModel) schedule(delay time.Duration, act func()) {
	m.sequence++
	m.queue = append(m.queue, claimEvent{m.now.Add(delay), m.sequence, act})
}

// send delivers a message between zones, which may be lost, duplicated, or delayed by up to
// half a minute.
func (m *claimModel) send(from, to structs.ZoneID, act func()) {
	copies := 1
	if m.chance(12) {
		copies = 2 * m.random.IntN(2)
	}
	for range copies {
		delay := m.randomDuration(20 * time.Millisecond)
		if m.chance(15) {
			delay = m.randomDuration(30 * time.Second)
		}
		m.schedule(delay, func() {
			if from == to || !m.now.Before(m.partitionedUntil) {
				act()
			}
		})
	}
}

// inSession returns a function that runs act in the router's present session only, once the
// router is not paused.
func (m *claimModel) inSession(r *claimRouter, act func()) func() {
	session := r.session
	var attempt func()
	attempt = func() {
		switch {
		case r.session != session:
		case m.now.Before(r.pausedUntil):
			m.schedule(r.pausedUntil.Sub(m.now), attempt)
		default:
			act()
		}
	}
	return attempt
}

func (m *claimModel) step(r *claimRouter, event router.Event) {
	for _, effect := range slices.Clone(r.core.Step(m.now, event)) {
		m.applyEffect(r, effect)
	}
}

func (m *claimModel) applyEffect(r *claimRouter, effect router.Effect) {
	switch effect := effect.(type) {
	case router.BeginClaim:
		m.begin(r, effect)
	case router.FinishClaim:
		m.finish(r, effect)
	case router.FetchAnswer:
		m.fetch(r, effect)
	case router.SendAttempt:
		m.attempt(r, effect)
	case router.CancelAttempt:
		// The cancellation is lost and the engine continues.
	case router.AskStatus:
		m.ask(r, effect)
	case router.Finish:
		m.recordOutcome(effect.ID, "finish")
	case router.Replay:
		m.recordOutcome(effect.ID, "replay")
	case router.Reject:
		m.recordOutcome(effect.ID, string(effect.Rejection.Execution))
	}
	if m.chance(150) {
		m.startRouter(r)
	}
}

func (m *claimModel) recordOutcome(id structs.RequestID, kind string) {
	if m.outcomes[id] != "" {
		m.violations = append(m.violations, fmt.Sprintf("%s finished twice", id))
	}
	m.outcomes[id] = kind
	m.counts[kind]++
}

// run sends requests under faults, and then runs without faults until all is resolved.
func (m *claimModel) run() {
	for number := range claimModelRequests {
		m.schedule(m.randomDuration(claimModelSpan), func() { m.arrive(number) })
	}
	for range 16 {
		m.schedule(m.randomDuration(claimModelSpan), m.injectFault)
	}
	for passed := time.Duration(0); passed < claimModelSpan+claimModelSettleTime; passed += claimModelStep {
		m.faultFree = passed > claimModelSpan+30*time.Second
		m.advance(m.now.Add(claimModelStep))
		for _, r := range m.routers {
			if !m.now.Before(r.pausedUntil) {
				m.step(r, router.Tick{})
			}
		}
		if passed%(2500*time.Millisecond) == 0 {
			m.renew()
		}
		if passed%(500*time.Millisecond) == 0 && (passed < claimModelSpan*2 || passed%(10*time.Second) == 0) {
			m.decide(m.zones["a"])
			m.decide(m.zones["b"])
		}
	}
	m.check()
}

func (m *claimModel) advance(until time.Time) {
	for {
		next := -1
		for i, event := range m.queue {
			if !event.at.After(until) && (next < 0 || event.at.Before(m.queue[next].at) ||
				(event.at.Equal(m.queue[next].at) && event.sequence < m.queue[next].sequence)) {
				next = i
			}
		}
		if next < 0 {
			m.now = until
			return
		}
		event := m.queue[next]
		m.queue = slices.Delete(m.queue, next, next+1)
		if event.at.After(m.now) {
			m.now = event.at
		}
		event.act()
	}
}

func (m *claimModel) arrive(number int) {
	id := structs.RequestID(fmt.Sprintf("request-%d", number))
	key := fmt.Sprintf("%s:%d", []string{"a", "b"}[m.random.IntN(2)], m.random.IntN(20))
	m.key[id] = key
	m.step(m.routers[m.random.IntN(len(m.routers))], router.Arrived{Request: structs.Request{
		ID: id, Row: "row", Prompt: key, MaxTokens: 1, IdempotencyKey: key, DeadlineAt: m.now.Add(20 * time.Second),
	}})
}

func (m *claimModel) injectFault() {
	r := m.routers[m.random.IntN(len(m.routers))]
	z := m.zones[[]structs.ZoneID{"a", "b"}[m.random.IntN(2)]]
	switch m.random.IntN(6) {
	case 0:
		m.startRouter(r)
	case 1:
		r.pausedUntil = m.now.Add(m.randomDuration(30 * time.Second))
	case 2:
		r.renewalsLostUntil = m.now.Add(m.randomDuration(30 * time.Second))
	case 3:
		m.startLeader(z)
		z.leaderlessUntil = m.now.Add(m.randomDuration(5 * time.Second))
	case 4:
		m.partitionedUntil = m.now.Add(m.randomDuration(30 * time.Second))
	default:
		m.restart(m.engines[fmt.Sprintf("%s-%d", z.id, m.random.IntN(2))])
	}
}

func (m *claimModel) check() {
	for key, count := range m.byKey {
		if count > 1 {
			m.violations = append(m.violations, fmt.Sprintf("key %s ran %d times", key, count))
		}
	}
	for id, end := range m.outcomes {
		if end == string(structs.ExecutionNotRun) && m.executions[id] > 0 {
			m.violations = append(m.violations, fmt.Sprintf("%s ran although reported as not_run", id))
		}
	}
	for _, z := range m.zones {
		if held := z.state.HeldClaims(); len(held) > 0 {
			m.violations = append(m.violations, fmt.Sprintf("%d claims are still held at the end", len(held)))
		}
	}
}
