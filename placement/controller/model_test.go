package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	modelTick     = 100 * time.Millisecond
	engineMemory  = 120
	modelRunners  = 4
	routerDelay   = 500 * time.Millisecond
	modelMaxDelay = 3 * time.Second
)

var modelRows = []structs.Row{
	{Name: "large", Kind: structs.RowModel, MemoryBytes: 60, Role: "answers", Weight: 1, Priority: 1},
	{Name: "kept", Kind: structs.RowModel, MemoryBytes: 30, Role: "answers", Weight: 1, Priority: 1, MinReplicas: 1},
	{Name: "small", Kind: structs.RowModel, MemoryBytes: 40, Role: "answers", Weight: 5, Priority: 2},
	{Name: "tuned", Kind: structs.RowAdapter, Base: "small", MemoryBytes: 10, Role: "answers", Weight: 1, Priority: 1},
}

type message[T any] struct {
	at      time.Time
	payload T
}

// model drives a Core against engines over a network that loses, duplicates, delays and
// reorders messages, with leaders that crash between any two steps.
type model struct {
	random      *rand.Rand
	now         time.Time
	faultFree   bool
	state       *zone.State
	index       uint64
	core        *Core
	epoch       structs.Epoch
	engines     []*engine
	orders      []message[structs.Order]
	reports     []message[ReportSeen]
	seen        map[structs.RunnerID]ReportSeen
	leaving     map[structs.RunnerID]bool
	grants      map[structs.RowName]*structs.Grant
	demand      map[structs.RowName]bool
	violation   string
	wishes      []structs.GrantWish
	loads       int
	failedLoads int
	// prefetches counts the executed prefetches.
	prefetches int
	// rejectsPrefetch makes all engines reject prefetch orders.
	rejectsPrefetch bool
}

func newModel(seed uint64) *model {
	m := &model{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		state:   zone.New("z"),
		seen:    map[structs.RunnerID]ReportSeen{},
		leaving: map[structs.RunnerID]bool{},
		grants:  map[structs.RowName]*structs.Grant{},
		demand:  map[structs.RowName]bool{},
	}
	delta := &structs.TableDelta{Revision: 1, Full: true, Rows: modelRows}
	for _, row := range modelRows {
		grant := structs.Grant{Row: row.Name, Zone: "z", Limit: 2, Held: 2, Sequence: 1}
		m.grants[row.Name] = &grant
		delta.Grants = append(delta.Grants, grant)
	}
	m.apply(zone.Command{Adopt: delta})
	for i := range modelRunners {
		e := &engine{id: structs.RunnerID(fmt.Sprintf("runner-%d", i))}
		e.restart()
		m.engines = append(m.engines, e)
	}
	m.startLeader()
	return m
}

func (m *model) apply(command zone.Command) zone.Result {
	m.index++
	return m.state.Apply(m.index, command)
}

func (m *model) startLeader() {
	m.epoch++
	m.index++ // The new leader's first entry.
	m.core = New(Options{})
	m.seen = map[structs.RunnerID]ReportSeen{}
}

// chance returns true with probability 1/n, and false in the fault-free phase.
func (m *model) chance(n int) bool { return !m.faultFree && m.random.IntN(n) == 0 }

func (m *model) delay() time.Duration {
	if m.chance(4) {
		return time.Duration(m.random.Int64N(int64(modelMaxDelay)))
	}
	return 0
}

func (m *model) fail(format string, values ...any) {
	if m.violation == "" {
		m.violation = m.now.Format("05.0 ") + fmt.Sprintf(format, values...)
	}
}

func (m *model) step() {
	m.now = m.now.Add(modelTick)
	m.injectFaults()
	for _, e := range m.engines {
		m.advance(e)
		if m.random.IntN(3) == 0 && !m.chance(3) {
			m.reports = append(m.reports, message[ReportSeen]{m.now.Add(m.delay()), m.report(e)})
		}
	}
	m.reports = deliver(m.reports, m.now, func(seen ReportSeen) { m.seen[seen.Report.Runner] = seen })
	m.orders = deliver(m.orders, m.now, m.execute)
	m.decide()
	m.check()
}

func deliver[T any](messages []message[T], now time.Time, receive func(T)) []message[T] {
	var rest []message[T]
	for _, one := range messages {
		if one.at.After(now) {
			rest = append(rest, one)
		} else {
			receive(one.payload)
		}
	}
	return rest
}

func (m *model) injectFaults() {
	for _, row := range modelRows {
		if m.chance(40) {
			m.demand[row.Name] = !m.demand[row.Name]
		}
		if m.chance(80) {
			m.grant(row.Name, m.random.IntN(4))
		}
	}
	e := m.engines[m.random.IntN(modelRunners)]
	switch {
	case m.chance(100):
		e.restart()
	case m.chance(100):
		m.leaving[e.id] = !m.leaving[e.id]
	case m.chance(100):
		m.apply(zone.Command{Drain: &zone.DrainCommand{Runner: e.id, Draining: m.random.IntN(2) == 0}})
	case m.chance(30):
		m.startLeader()
	}
}

// grant models the global group. It never lowers what is held.
func (m *model) grant(row structs.RowName, limit int) {
	grant := m.grants[row]
	grant.Limit = limit
	grant.Held = max(grant.Held, limit)
	grant.Frozen = m.chance(3)
	m.changeGrant(grant)
}

func (m *model) changeGrant(grant *structs.Grant) {
	grant.Sequence++
	revision := m.state.TableRevision()
	m.apply(zone.Command{Adopt: &structs.TableDelta{
		SinceRevision: revision, Revision: revision + 1, Grants: []structs.Grant{*grant},
	}})
}

func (m *model) release(release structs.GrantRelease) {
	grant := m.grants[release.Row]
	if grant.Sequence == release.Sequence {
		if loaded := m.state.CountOf(release.Row); loaded > release.Limit || !grant.Frozen && grant.Limit > release.Limit {
			m.fail("%s releases to %d with %d loaded under %+v", release.Row, release.Limit, loaded, *grant)
		}
		grant.Held = release.Limit
		grant.Limit = min(grant.Limit, grant.Held)
		m.changeGrant(grant)
	}
}

// routable reports whether a router may still consider the replica ready.
func (m *model) routable(runner structs.RunnerID, row structs.RowName) bool {
	replica, ok := m.state.Replica(runner, row)
	if !ok || replica.State == structs.ReplicaReady {
		return ok
	}
	return replica.State == structs.ReplicaUnloading && m.now.Sub(replica.Since) < routerDelay
}

func (m *model) decide() {
	rows := []structs.RowDemand{}
	for _, row := range modelRows {
		if m.demand[row.Name] {
			rows = append(rows, structs.RowDemand{Row: row.Name, Waiting: 3, Arrived: 1, Highest: row.Priority})
		}
	}
	m.core.ObserveDemand(m.now, structs.DemandReport{Daemon: "router", Rows: rows})
	input := Input{
		Now: m.now, Epoch: m.epoch, LeaseValid: !m.chance(20), State: m.state, Reports: m.seen, StoreBudget: 2,
	}
	for _, e := range m.engines {
		machine := structs.Machine{Runner: e.id, Zone: "z", Address: "127.0.0.1:1", State: structs.MachineLive}
		if m.leaving[e.id] {
			machine.State = structs.MachineLeaving
		}
		input.Machines = append(input.Machines, machine)
	}
	m.applyDecisions(m.core.Decide(input), input.LeaseValid)
}

func (m *model) applyDecisions(decisions Decisions, lease bool) {
	if !lease && len(decisions.Commands)+len(decisions.Orders) > 0 {
		m.fail("decisions without a valid lease")
	}
	m.wishes = decisions.Wishes
	for _, order := range decisions.Orders {
		runner, _ := m.state.Runner(order.Runner)
		if order.Kind != structs.OrderUnload && (!runner.Accepting() || m.leaving[order.Runner]) {
			m.fail("%s gets new work although it does not accept any", order.Runner)
		}
		if row, _ := m.state.Row(order.Row); order.MemoryBytes != row.MemoryBytes {
			m.fail("order gives %s %d bytes on %s", order.Row, order.MemoryBytes, order.Runner)
		}
		grant := m.grants[order.Row]
		if order.Kind == structs.OrderLoad && (grant.Frozen || m.state.CountOf(order.Row) > grant.Limit) {
			m.fail("%s is loaded under the grant %+v", order.Row, *grant)
		}
		for copies := m.random.IntN(3); !m.chance(5) && copies >= 0; copies-- {
			m.orders = append(m.orders, message[structs.Order]{m.now.Add(m.delay()), order})
		}
	}
	for _, command := range decisions.Commands {
		if m.chance(100) {
			m.startLeader() // The leader crashes before the rest is in the log.
			return
		}
		if m.chance(30) {
			// The state has changed since the decision.
			m.grant(modelRows[m.random.IntN(len(modelRows))].Name, m.random.IntN(3))
		}
		m.checkCommand(command, m.apply(command))
	}
	for _, release := range decisions.Releases {
		if !m.chance(3) {
			m.release(release)
		}
	}
}

// checkCommand checks an applied command against the model's grants and engines.
func (m *model) checkCommand(command zone.Command, result zone.Result) {
	if result.Error != nil {
		return
	}
	if reserve := command.Reserve; reserve != nil {
		if grant := m.grants[reserve.Row]; grant.Frozen || m.state.CountOf(reserve.Row) > grant.Limit {
			m.fail("%s is reserved above the limit of %+v", reserve.Row, *grant)
		}
	}
	if change := command.Transition; change != nil && change.To == structs.ReplicaReady {
		replica, _ := m.state.Replica(change.Runner, change.Row)
		e := m.engine(change.Runner)
		if e.incarnation == replica.Incarnation && e.lastReadyOrder[change.Row] < replica.Reserved {
			m.fail("%s on %s is recorded as ready but never was", change.Row, change.Runner)
		}
	}
}

// check compares what the engines have loaded with the grants and the memory.
func (m *model) check() {
	if err := m.state.CheckInvariants(); err != nil {
		m.fail("%v", err)
	}
	counts := map[structs.RowName]int{}
	for _, e := range m.engines {
		var used int64
		for row, replica := range e.replicas {
			counts[row]++
			used += replica.memory
		}
		if used > engineMemory {
			m.fail("%s uses %d bytes", e.id, used)
		}
	}
	for row, count := range counts {
		if held := m.grants[row].Held; count > held {
			m.fail("%s is loaded %d times with %d held", row, count, held)
		}
	}
}
