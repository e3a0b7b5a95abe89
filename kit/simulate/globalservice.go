package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneSetupInterval is how often the global leader adds missing zones to the table,
// as an operator would at setup.
const zoneSetupInterval = time.Second

// globalService serves zones and operators on a member of the global group.
type globalService struct {
	daemon *daemon
	state  *tableMachine
	// waiting holds the operators that wait for the result of an edit.
	waiting map[structs.EditID][]waitingOperator
	// reads holds the operators that wait for a read, by read number.
	reads    map[uint64]waitingOperator
	lastRead uint64
}

type waitingOperator struct {
	address Address
	number  uint64
}

func newGlobalService(d *daemon) *globalService {
	return &globalService{
		daemon:  d,
		waiting: map[structs.EditID][]waitingOperator{},
		reads:   map[uint64]waitingOperator{},
	}
}

// loop adds missing zones to the table while this member leads.
func (g *globalService) loop() {
	m := g.daemon.globalMember
	if m.node != nil && m.leads() {
		g.addZones()
		m.pump()
	}
	if g.daemon.machine.alive {
		g.daemon.machine.after(zoneSetupInterval, g.loop)
	}
}

func (g *globalService) addZones() {
	known := map[structs.ZoneID]bool{}
	for _, zone := range g.state.state.Zones() {
		known[zone.Zone] = true
	}
	for _, zone := range g.daemon.site.zones {
		if !known[zone] {
			g.propose(table.Command{Zone: &table.ZoneCommand{Zone: zone, Weight: 1}})
		}
	}
}

func (g *globalService) propose(command table.Command) bool {
	m := g.daemon.globalMember
	encoded, err := table.EncodeCommand(command)
	if err != nil {
		g.daemon.site.memberFailed(m, "encode a table command", err)
		return false
	}
	_, ok := m.propose(encoded)
	return ok
}

func (g *globalService) receive(from Address, message any) {
	m := g.daemon.globalMember
	if m.node == nil {
		return
	}
	m.catchUp()
	switch content := message.(type) {
	case deltaRequest:
		delta := g.state.state.Delta(content.zone, content.since)
		g.reply(from, deltaAnswer{delta})
	case zoneStatement:
		g.handleStatement(from, content)
	case rowsRequest:
		g.handleRead(from, content)
	case editRequest:
		g.handleEdit(from, content)
	}
	if m.node != nil {
		m.pump()
	}
}

func (g *globalService) reply(to Address, message any) {
	g.daemon.site.network.Send(g.daemon.machine.Address, to, message)
}

// handleStatement proposes a zone's statement, or forwards it to the leader.
func (g *globalService) handleStatement(from Address, statement zoneStatement) {
	m := g.daemon.globalMember
	if !m.leads() {
		leader := m.node.Leader()
		to := m.identities(leader)
		if leader != 0 && to != g.daemon.machine.Address && from != to {
			g.reply(to, statement)
		}
		return
	}
	for i := range statement.releases {
		g.propose(table.Command{Release: &statement.releases[i]})
	}
	if len(statement.wishes) > 0 {
		g.propose(table.Command{Wish: &table.WishCommand{Zone: statement.zone, Wishes: statement.wishes}})
	}
	if statement.inForce > g.knownInForce(statement.zone) && statement.inForce <= g.state.state.Revision() {
		g.propose(table.Command{InForce: &table.InForceCommand{Zone: statement.zone, Revision: statement.inForce}})
	}
}

func (g *globalService) knownInForce(zone structs.ZoneID) uint64 {
	for _, known := range g.state.state.Zones() {
		if known.Zone == zone {
			return known.InForce
		}
	}
	return 0
}

// handleRead starts a linearizable read.
func (g *globalService) handleRead(from Address, request rowsRequest) {
	m := g.daemon.globalMember
	g.lastRead++
	if g.daemon.site.mutated(mutationStaleReads) {
		g.reads[g.lastRead] = waitingOperator{from, request.number}
		g.readReady(g.lastRead)
		return
	}
	if err := m.node.ReadIndex(g.lastRead); err != nil {
		return
	}
	g.reads[g.lastRead] = waitingOperator{from, request.number}
}

// readReady answers a pending read.
func (g *globalService) readReady(context uint64) {
	waiting, ok := g.reads[context]
	if !ok {
		return
	}
	delete(g.reads, context)
	g.reply(waiting.address, rowsAnswer{
		number: waiting.number, revision: g.state.state.Revision(), rows: g.state.state.Rows(),
	})
}

func (g *globalService) handleEdit(from Address, request editRequest) {
	m := g.daemon.globalMember
	edit := request.edit
	if !m.leads() || !g.propose(table.Command{Edit: &table.EditCommand{Edit: edit, At: g.daemon.now()}}) {
		refusal := structs.NewError(structs.ErrorNotLeader, "this member does not lead", "Ask another member.")
		if leader := m.node.Leader(); leader != 0 {
			refusal.Leader = string(m.identities(leader))
		}
		g.reply(from, editAnswer{number: request.number, refuse: refusal})
		return
	}
	g.waiting[edit.ID] = append(g.waiting[edit.ID], waitingOperator{from, request.number})
}

// editDecided answers the operators that wait for the edit.
func (g *globalService) editDecided(id structs.EditID, result table.Result) {
	for _, operator := range g.waiting[id] {
		g.daemon.site.ledger.editAnswered(operator, id, result)
		g.reply(operator.address, editAnswer{number: operator.number, result: result.Edit, refuse: result.Error})
	}
	delete(g.waiting, id)
}
