package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// restartDelay is the downtime of a process that terminated itself.
	restartDelay = time.Second
)

// daemon is the service of a control machine: a member of its zone's group with the
// controller, and on some machines also a member of the global group.
type daemon struct {
	site    *tableSite
	number  int
	machine *Machine
	// startedAt and startedWall are the monotonic and wall time at process start.
	startedAt   time.Duration
	startedWall time.Time

	// claims handles claim operations; nil in a site without requests.
	claims       *claimService
	zoneMember   *member
	globalMember *member
	controller   *zoneController
	global       *globalService
}

// now returns the process's time. Like time.Now, it ignores steps of the wall clock
// after process start.
func (d *daemon) now() time.Time {
	return d.startedWall.Add(d.machine.Clock.Monotonic() - d.startedAt)
}

// start implements service.
func (d *daemon) start() {
	d.startedAt = d.machine.Clock.Monotonic()
	d.startedWall = d.machine.Clock.Now()
	d.controller = newZoneController(d)
	state := newZoneMachine(d.machine.Zone)
	d.controller.state = state.state
	if d.site.requests != nil {
		d.claims = newClaimService(d)
	}
	d.zoneMember.start(d.number, state)
	if d.globalMember != nil {
		d.global = newGlobalService(d)
		table := newTableMachine()
		table.mutate = d.site.tableMutation()
		d.global.state = table
		d.globalMember.start(d.number, table)
	}
	if !d.machine.alive {
		return
	}
	d.tick()
	d.join()
	d.controller.loop()
	if d.global != nil {
		d.global.loop()
	}
}

// stopped implements service.
func (d *daemon) stopped() {
	for _, m := range d.members() {
		m.node = nil
	}
}

func (d *daemon) members() []*member {
	if d.globalMember == nil {
		return []*member{d.zoneMember}
	}
	return []*member{d.zoneMember, d.globalMember}
}

// member returns the daemon's member of the group, or nil if it has none.
func (d *daemon) member(group groupName) *member {
	for _, m := range d.members() {
		if m.group == group {
			return m
		}
	}
	return nil
}

// tick advances the raft nodes and schedules the next tick.
func (d *daemon) tick() {
	for _, m := range d.members() {
		if m.node != nil {
			m.catchUp()
			m.pump()
		}
	}
	if d.machine.alive {
		d.machine.after(d.site.pace.tick, d.tick)
	}
}

// join requests group membership for members that do not vote yet, and schedules the
// next attempt.
func (d *daemon) join() {
	for _, m := range d.members() {
		if m.node == nil || m.node.Status().Membership.HasVoter(m.store.identity) {
			continue
		}
		request := joinRequest{group: m.group, identity: m.store.identity}
		for _, other := range d.site.daemons {
			if other != d && other.member(m.group) != nil {
				m.network.Send(d.machine.Address, other.machine.Address, request)
			}
		}
	}
	d.machine.after(d.site.pace.join, d.join)
}

// receive implements service.
func (d *daemon) receive(from Address, message any) {
	switch content := message.(type) {
	case raftMessage:
		if m := d.member(content.group); m != nil {
			m.step(content.message)
		}
	case joinRequest:
		if m := d.member(content.group); m != nil {
			m.addVoter(content.identity)
		}
	case reportMessage:
		d.controller.observeReport(content.report)
	case orderAnswer:
		d.controller.observeAnswer(content)
	case demandMessage:
		d.controller.observeDemand(content.report)
	case demandCall:
		d.handleDemand(from, content)
	case viewRequest:
		d.answerView(from, content)
	case claimProposal:
		d.claims.propose(content)
	case claimRenewal:
		d.claims.renew(content.requests)
	case deltaAnswer:
		d.controller.recordGlobalAnswer(from)
		d.controller.adopt(content.delta)
	default:
		if d.global != nil {
			d.global.receive(from, message)
		}
	}
}

// demandMessage carries a router's demand report.
type demandMessage struct{ report structs.DemandReport }

// votes reports whether all members of the machine are voters by a committed
// membership.
func (d *daemon) votes() bool {
	for _, m := range d.members() {
		if m.node == nil {
			return false
		}
		status := m.node.Status()
		if !status.Membership.HasVoter(m.store.identity) || status.Commit < status.MembershipIndex {
			return false
		}
	}
	return true
}

// isLeader reports whether the daemon believes that it leads the group.
func (d *daemon) isLeader(group groupName) bool {
	m := d.member(group)
	return m != nil && m.node != nil && m.node.Role() == raft.Leader
}
