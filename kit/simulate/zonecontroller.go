package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxOrderDelay bounds the delay from a decision to the sending of its orders,
	// during which the process may be paused.
	maxOrderDelay = 20 * time.Millisecond
	// storeBudget bounds the concurrent loads from the weight store in a zone.
	storeBudget = 4
	// simulatedPartChanges is small, so that most deltas are adopted in parts.
	simulatedPartChanges = 2
)

// zoneController runs the controller of a daemon and executes its decisions.
type zoneController struct {
	daemon  *daemon
	core    *controller.Core
	state   *zone.State
	reports map[structs.RunnerID]controller.ReportSeen
	// awaitedIndex is the last index proposed, in term awaitedTerm; the next decision
	// waits until it is applied.
	awaitedIndex uint64
	awaitedTerm  uint64
	turn         int
	mutated      controllerMutations
}

func newZoneController(d *daemon) *zoneController {
	options := controller.Options{
		Zone:     d.machine.Zone,
		Settings: plannerSettings(),
	}
	if d.site.requests != nil {
		options.ClaimLease = requestClaimLease
	}
	return &zoneController{
		daemon:  d,
		core:    controller.New(options),
		reports: map[structs.RunnerID]controller.ReportSeen{},
	}
}

// plannerSettings returns settings under which replicas are loaded and unloaded
// within seconds.
func plannerSettings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.RequestsPerReplica = 4
	settings.MinResidence = time.Second
	settings.MinKeepAlive = 2 * time.Second
	settings.MaxKeepAlive = 8 * time.Second
	return settings
}

func (c *zoneController) observeReport(report structs.EngineReport) {
	known := c.reports[report.Runner].Report
	older := report.Incarnation == known.Incarnation && report.Load.ObservedAt.Before(known.Load.ObservedAt)
	if report.Incarnation < known.Incarnation || older {
		return
	}
	c.reports[report.Runner] = controller.ReportSeen{Report: report, ReceivedAt: c.daemon.now()}
}

func (c *zoneController) observeAnswer(answer orderAnswer) {
	c.core.ObserveReply(answer.order.Runner, answer.reply)
}

func (c *zoneController) observeDemand(report structs.DemandReport) {
	c.core.ObserveDemand(c.daemon.now(), report)
}

// loop decides periodically while the process is alive.
func (c *zoneController) loop() {
	if c.daemon.zoneMember.node != nil {
		c.decide()
	}
	if c.daemon.machine.alive {
		c.daemon.machine.after(c.daemon.site.pace.decide, c.loop)
	}
}

func (c *zoneController) decide() {
	m := c.daemon.zoneMember
	ignoreLease := c.daemon.site.mutated(mutationIgnoreLease)
	if !ignoreLease {
		m.catchUp()
	}
	if c.waitsForGlobal() {
		return
	}
	term := m.node.Term()
	if !m.leads() {
		c.core.Decide(controller.Input{Now: c.daemon.now()})
		return
	}
	if c.awaitedTerm == term && m.applied < c.awaitedIndex {
		return
	}
	input := controller.Input{
		Now:         c.daemon.now(),
		Epoch:       structs.Epoch(term),
		LeaseValid:  m.node.LeaseValid() || ignoreLease,
		State:       c.state,
		Reports:     c.mutateReports(),
		Machines:    c.daemon.site.machineList(c.daemon.machine.Zone),
		Renewed:     c.renewals(),
		StoreBudget: storeBudget,
	}
	if input.LeaseValid {
		c.daemon.site.ledger.leaderActs(m, c.state.TableRevision())
	}
	c.execute(c.core.Decide(input))
}

// execute executes the decisions. Orders are sent later without another check of the
// lease; fencing guards against stale ones.
func (c *zoneController) execute(decisions controller.Decisions) {
	m := c.daemon.zoneMember
	epoch := structs.Epoch(m.node.Term())
	steps := c.daemon.site.ledger.orderSteps
	for _, command := range decisions.Commands {
		steps.proposed(c, epoch, command)
		c.propose(command)
	}
	for _, inquiry := range decisions.Inquiries {
		c.inquire(inquiry)
	}
	for _, order := range decisions.Orders {
		steps.sent(c, epoch, order)
		c.daemon.site.ledger.orderDecided(c.daemon.machine.Zone, c.state.TableRevision(), order)
		c.sendLater(order)
	}
	if c.daemon.site.mutated(mutationEarlyRelease) && m.node.LeaseValid() {
		decisions.Releases = c.allReleases()
	}
	if decisions.InForce > 0 || len(decisions.Wishes) > 0 {
		c.sendStatement(zoneStatement{
			zone:     c.daemon.machine.Zone,
			releases: decisions.Releases,
			wishes:   decisions.Wishes,
			inForce:  decisions.InForce,
		})
	}
	if m.node != nil && m.node.LeaseValid() {
		c.askDelta()
	}
	if m.node != nil {
		m.pump()
	}
}

func (c *zoneController) propose(command zone.Command) {
	m := c.daemon.zoneMember
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		c.daemon.site.memberFailed(m, "encode a zone command", err)
		return
	}
	index, ok := m.propose(encoded)
	if !ok {
		return
	}
	c.awaitedIndex, c.awaitedTerm = index, m.node.Term()
	if command.Reserve != nil && c.daemon.site.mutated(mutationOrderUnapplied) {
		c.orderUnapplied(index, *command.Reserve)
	}
}

func (c *zoneController) sendLater(order structs.Order) {
	d := c.daemon
	hesitation := time.Duration(d.machine.random.Int64N(int64(maxOrderDelay)))
	d.machine.after(hesitation, func() {
		if d.machine.step() {
			return
		}
		d.site.noteOrder("order", string(d.machine.Address), order)
		held := d.site.heldOrders[d.machine.Address]
		d.site.network.SendAfter(held, d.machine.Address, engineAddress(order.Runner), orderMessage{order})
	})
}

func (c *zoneController) sendStatement(statement zoneStatement) {
	c.daemon.site.network.Send(c.daemon.machine.Address, c.nextGlobal(), statement)
}

func (c *zoneController) askDelta() {
	request := deltaRequest{zone: c.daemon.machine.Zone, since: c.state.TableRevision()}
	if !c.mutateRequest(&request) {
		return
	}
	c.daemon.site.network.Send(c.daemon.machine.Address, c.nextGlobal(), request)
}

// nextGlobal returns the members of the global group in turn.
func (c *zoneController) nextGlobal() Address {
	c.turn++
	globals := c.daemon.site.globals
	return globals[c.turn%len(globals)].machine.Address
}

// adopt proposes a delta received from a member of the global group.
func (c *zoneController) adopt(delta structs.TableDelta) {
	m := c.daemon.zoneMember
	if m.node == nil || !m.leads() || delta.Revision <= c.state.TableRevision() {
		return
	}
	delta = c.mutate(delta)
	for _, command := range zone.AdoptCommands(delta, simulatedPartChanges) {
		c.propose(command)
	}
	m.pump()
}
