package simulate

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	tableScenarioName = "table"

	simulatedRole structs.RunnerRole = "answers"
	// controllersPerZone is the size of a zone's group.
	controllersPerZone = 3
	operatorCount      = 3
	// simulatedRowBytes lets three rows fit on an engine, so that engines fill up.
	simulatedRowBytes = 7 << 30
)

var (
	simulatedZones = []structs.ZoneID{"zone-a", "zone-b", "zone-c"}
	// enginesPerZone is the number of engines by zone.
	enginesPerZone = []int{3, 2, 3}
	// globalsPerZone is the number of global group members by zone.
	globalsPerZone = []int{2, 2, 1}
	simulatedRows  = []structs.RowName{"harvest", "certificate", "symbols", "review", "weighing"}
)

// calmNetwork is the network without faults.
var calmNetwork = Quality{MinDelay: 500 * time.Microsecond, MaxDelay: 3 * time.Millisecond}

// tableSite is a simulated site of the table scenario.
type tableSite struct {
	simulatedSite
	ledger  *ledger
	history tableHistory

	zones     []structs.ZoneID
	daemons   []*daemon
	globals   []*daemon
	engines   []*engineHost
	operators []*tableOperator
	// demands simulates the routers of a site without requests.
	demands []*demandSource
	// requests holds the callers and routers; nil in a site without them.
	requests *requestSite
	// heldOrders is the delay of orders by sending machine.
	heldOrders map[Address]time.Duration
	// end is when all faults have healed.
	end      time.Duration
	pace     pace
	progress *progressChecker
	// loadingDeaths holds the armed faults that wait for a load.
	loadingDeaths []*Fault
	// storeSlowness multiplies the duration of weight store fetches; answerLoss is
	// the minimum share of lost answers to edits.
	storeSlowness float64
	answerLoss    float64
	// hurried and racing count the active faults that make operators edit without
	// pauses and race.
	hurried int
	racing  int
	// quiet is set after operators and callers have stopped.
	quiet bool
	edits int
}

func newTableSite(plan seedPlan, table timetable) *tableSite {
	site := &tableSite{
		simulatedSite: newSimulatedSite(plan),
		zones:         simulatedZones,
		heldOrders:    map[Address]time.Duration{},
		end:           table.end,
		pace:          table.pace,
		storeSlowness: 1,
	}
	if table.serving {
		site.requests = newControlledRequests(site)
	}
	site.ledger = newLedger(site, site.judge)
	site.progress = newProgressChecker(site, table.faults)
	site.addDaemons()
	for number, zone := range site.zones {
		for i := range enginesPerZone[number] {
			id := structs.RunnerID(fmt.Sprintf("%s/engine-%d", zone, i+1))
			site.addEngine(newEngineHost(site, site.random, id, zone))
		}
	}
	for number := range operatorCount {
		site.operators = append(site.operators, newTableOperator(site, site.random, number))
	}
	for _, zone := range site.zones {
		site.addRouters(zone)
	}
	for _, d := range site.daemons {
		d.machine.Start()
	}
	if site.requests != nil {
		site.requests.begin()
	}
	return site
}

func (s *tableSite) addEngine(host *engineHost) {
	s.engines = append(s.engines, host)
	if s.requests != nil {
		s.requests.engines = append(s.requests.engines, &host.streamingEngine)
	}
}

// addRouters adds the routers of a zone, or a demandSource in a site without
// requests.
func (s *tableSite) addRouters(zone structs.ZoneID) {
	if s.requests != nil {
		s.requests.addRouters(zone)
		return
	}
	s.demands = append(s.demands, newDemandSource(s, s.random, zone))
}

// addDaemons creates the control machines with their members.
func (s *tableSite) addDaemons() {
	founders := map[groupName]raft.Membership{}
	for zoneNumber, zone := range s.zones {
		for i := range controllersPerZone {
			number := len(s.daemons)
			address := Address(fmt.Sprintf("%s/controller-%d", zone, i+1))
			machine := newMachine(s.scheduler, s.trace, s.random, address, zone)
			machine.Disk.Lying = s.mutated(mutationNoSync)
			d := &daemon{site: s, number: number, machine: machine}
			machine.service = d
			s.network.Attach(address, zone, machine.deliver)
			s.daemons = append(s.daemons, d)
			d.zoneMember = s.newMember(d, groupName(zone), founders)
			if i < globalsPerZone[zoneNumber] {
				d.globalMember = s.newMember(d, globalGroup, founders)
				s.globals = append(s.globals, d)
			}
		}
	}
	for _, d := range s.daemons {
		for _, m := range d.members() {
			m.initialMembership = founders[m.group]
		}
	}
}

func (s *tableSite) newMember(d *daemon, group groupName, founders map[groupName]raft.Membership) *member {
	membership := founders[group]
	membership.Voters = append(membership.Voters, identity(d.number, 1))
	founders[group] = membership
	return &member{
		machine:    d.machine,
		network:    s.network,
		observer:   s,
		group:      group,
		identities: s.addressOf,
		tick:       s.pace.tick,

		snapshotEntries: s.pace.snapshotEntries,
		keepIdentity:    s.mutated(mutationKeepIdentity),
	}
}

func (s *tableSite) addressOf(id raft.NodeID) Address {
	number := machineOf(id)
	if number < 0 || number >= len(s.daemons) {
		return ""
	}
	return s.daemons[number].machine.Address
}

func (s *tableSite) daemonAt(address string) *daemon {
	for _, d := range s.daemons {
		if string(d.machine.Address) == address {
			return d
		}
	}
	return nil
}

// machineList returns the platform's list of a zone's engines.
func (s *tableSite) machineList(zone structs.ZoneID) []structs.Machine {
	var list []structs.Machine
	for _, host := range s.engines {
		if host.zone != zone {
			continue
		}
		machine := structs.Machine{Runner: host.id, Zone: zone, Address: string(host.id), State: host.listed}
		if s.mutated(mutationIgnoreLeaving) {
			machine.State = structs.MachineLive
		}
		list = append(list, machine)
	}
	return list
}

// nextEditID returns a new edit ID for an intent.
func (s *tableSite) nextEditID(intent intentID) structs.EditID {
	s.edits++
	id := structs.EditID(fmt.Sprintf("edit-%d-%d-%d", intent.operator+1, intent.number, s.edits))
	s.ledger.edits.intents[id] = intent
	return id
}

func newSimulatedRow(name structs.RowName) structs.Row {
	return structs.Row{
		Name:        name,
		Kind:        structs.RowModel,
		Weight:      1,
		Priority:    structs.PriorityStandard,
		MemoryBytes: simulatedRowBytes,
		Role:        simulatedRole,
	}
}

func (s *tableSite) noteOrder(kind, subject string, order structs.Order) {
	s.trace.Note(kind, subject, string(order.Runner)+" "+describeOrder(order))
}

// memberApplied implements memberObserver.
func (s *tableSite) memberApplied(m *member, entry raft.Entry, result any) {
	s.ledger.applied(m, entry, result)
	if decided, ok := result.(zoneOutcome); ok {
		s.claimsDecided(m, entry, decided)
	}
	outcome, ok := result.(tableOutcome)
	if !ok || outcome.command.Edit == nil {
		return
	}
	if d := s.daemonAt(string(m.machine.Address)); d.global != nil {
		d.global.editDecided(outcome.command.Edit.Edit.ID, outcome.result)
	}
}

// memberRestored implements memberObserver.
func (s *tableSite) memberRestored(m *member, snapshot raft.Snapshot) {
	s.trace.Event("restore", string(m.machine.Address), string(m.group), snapshot.Index, snapshot.Term)
}

// memberBecameLeader implements memberObserver.
func (s *tableSite) memberBecameLeader(m *member) {
	s.counts.Elections++
	s.trace.Note("leader", string(m.machine.Address), fmt.Sprintf("%s term %d", m.group, m.node.Term()))
	s.ledger.becameLeader(m.group, m.node.Term(), m.store.identity)
}

// memberRead implements memberObserver.
func (s *tableSite) memberRead(m *member, context uint64) {
	if d := s.daemonAt(string(m.machine.Address)); d.global != nil && m.group == globalGroup {
		d.global.readReady(context)
	}
}

// memberFailed implements memberObserver.
func (s *tableSite) memberFailed(m *member, doing string, err error) {
	s.judge.Report(checkerFailure, "%s of group %s could not %s: %v", m.machine.Address, m.group, doing, err)
}
