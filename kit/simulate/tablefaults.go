package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// crashLimit bounds the delay of an armed crash.
	crashLimit = 2 * time.Second
	// isolationLead is how long orders are delayed before a leader is isolated.
	isolationLead = 500 * time.Millisecond
	// repairPoll is the polling interval for a repair, and repairTimeout its time
	// limit.
	repairPoll    = 50 * time.Millisecond
	repairTimeout = 20 * time.Second
)

// inject applies a fault and returns the function that heals it, or nil.
func (s *tableSite) inject(fault Fault) (heal func()) {
	switch fault.Kind {
	case FaultCutZone:
		return s.cutZone(structs.ZoneID(fault.Target), s.zones)
	case FaultCutOneWay:
		return s.cutOneWay(structs.ZoneID(fault.Target), structs.ZoneID(fault.Peer))
	case FaultSilentLeader:
		return s.isolateLeader(groupName(fault.Target), time.Duration(fault.Amount*float64(time.Second)))
	case FaultStorm:
		return s.storm(fault.Amount)
	case FaultTransfer:
		s.transferLeadership(groupName(fault.Target))
		return nil
	case FaultEngineCrash, FaultEngineCut, FaultReclaim:
		return s.injectEngine(fault)
	case FaultLoadingDeath, FaultRestartSite, FaultStoreSlow, FaultEditBurst, FaultRace, FaultLostAnswers:
		return s.injectLoad(fault)
	}
	if d := s.daemonAt(fault.Target); d != nil {
		return s.injectMachine(d, fault)
	}
	return nil
}

// injectMachine applies a fault of one control machine.
func (s *tableSite) injectMachine(d *daemon, fault Fault) (heal func()) {
	machine := d.machine
	switch fault.Kind {
	case FaultCrash:
		machine.ArmCrash(int(fault.Amount), min(crashLimit, fault.For), fault.For)
	case FaultPause:
		machine.Pause()
		return machine.Resume
	case FaultDrift:
		machine.Clock.SetRate(fault.Amount)
		return func() { machine.Clock.SetRate(1) }
	case FaultClockStep:
		machine.Clock.Step(time.Duration(fault.Amount * float64(time.Second)))
	case FaultCutMachine:
		return s.cutMachine(d)
	case FaultReplaceDisk:
		s.replaceDisk(d, fault.For)
	case FaultReplaceTwice:
		if s.replaceDisk(d, fault.For) {
			s.replaceAfterRepair(d, s.daemonAt(fault.Peer), fault.For, s.scheduler.Now()+repairTimeout)
		}
	case FaultDiskFull:
		machine.Disk.Full = true
		return func() { machine.Disk.Full = false }
	case FaultDiskSlow:
		machine.Disk.SyncDelay = time.Duration(fault.Amount * float64(time.Second))
		return func() { machine.Disk.SyncDelay = syncDelay }
	}
	return nil
}

func (s *tableSite) injectEngine(fault Fault) (heal func()) {
	for _, host := range s.engines {
		if string(host.id) != fault.Target {
			continue
		}
		switch fault.Kind {
		case FaultEngineCrash:
			host.crash(fault.For)
		case FaultReclaim:
			s.reclaim(host, time.Duration(fault.Amount*float64(time.Second)), fault.For)
		default:
			return s.cutEngine(host)
		}
		return nil
	}
	return nil
}

// cutMachine isolates a control machine from all others, but not from engines.
func (s *tableSite) cutMachine(d *daemon) (heal func()) {
	change := func(apply func(from, to Address)) {
		for _, other := range s.daemons {
			if other != d {
				apply(d.machine.Address, other.machine.Address)
				apply(other.machine.Address, d.machine.Address)
			}
		}
	}
	change(s.network.Cut)
	return func() { change(s.network.Heal) }
}

func (s *tableSite) cutEngine(host *engineHost) (heal func()) {
	change := func(apply func(from, to Address)) {
		for _, d := range s.daemons {
			apply(d.machine.Address, engineAddress(host.id))
			apply(engineAddress(host.id), d.machine.Address)
		}
	}
	change(s.network.Cut)
	return func() { change(s.network.Heal) }
}

// isolateLeader isolates the leader of a zone. Its orders are delayed from
// isolationLead before that. The fault must last longer than isolationLead.
func (s *tableSite) isolateLeader(group groupName, held time.Duration) (heal func()) {
	d := s.leaderOf(group)
	if d == nil {
		return nil
	}
	s.heldOrders[d.machine.Address] = held
	var healCut func()
	s.scheduler.After(isolationLead, func() { healCut = s.isolate(d) })
	return func() {
		delete(s.heldOrders, d.machine.Address)
		if healCut != nil {
			healCut()
		}
	}
}

// isolate cuts a control machine off from all others and from engine reports.
func (s *tableSite) isolate(d *daemon) (heal func()) {
	healCut := s.cutMachine(d)
	change := func(apply func(from, to Address)) {
		for _, host := range s.engines {
			apply(engineAddress(host.id), d.machine.Address)
		}
	}
	change(s.network.Cut)
	return func() {
		healCut()
		change(s.network.Heal)
	}
}

// leaderOf returns the leader of the group in the newest term, or nil.
func (s *tableSite) leaderOf(group groupName) *daemon {
	var newest *daemon
	for _, d := range s.daemons {
		if !d.isLeader(group) {
			continue
		}
		if newest == nil || newest.member(group).node.Term() < d.member(group).node.Term() {
			newest = d
		}
	}
	return newest
}

func (s *tableSite) transferLeadership(group groupName) {
	leader := s.leaderOf(group)
	if leader == nil || leader.machine.paused {
		return
	}
	m := leader.member(group)
	for _, voter := range m.node.Status().Membership.Voters {
		if voter != m.store.identity {
			if err := m.node.TransferLeadership(voter); err != nil {
				s.trace.Note("transfer-refused", string(m.machine.Address), err.Error())
			}
			m.pump()
			return
		}
	}
}

// replaceDisk crashes a machine and replaces its disk by an empty one, unless one of
// its groups has not recovered from an earlier loss: a group of three tolerates one
// loss at a time.
func (s *tableSite) replaceDisk(d *daemon, outage time.Duration) bool {
	if problem := s.unrepairedPeer(d); problem != "" {
		s.trace.Note("fault-skipped", string(d.machine.Address), problem)
		return false
	}
	s.counts.Repairs++
	d.machine.Crash(outage)
	d.machine.Disk.Replace()
	return true
}

// unrepairedPeer describes a machine that shares a group with d and has not been
// repaired since it lost its disk; empty if there is none.
func (s *tableSite) unrepairedPeer(d *daemon) string {
	for _, other := range s.daemons {
		for _, m := range d.members() {
			peer := other.member(m.group)
			if peer != nil && !s.isRepaired(other, peer) {
				return string(other.machine.Address) + " is not repaired"
			}
		}
	}
	return ""
}

// isRepaired reports whether the group's leader has committed a membership in which
// the member's present identity votes.
func (s *tableSite) isRepaired(d *daemon, m *member) bool {
	if d.machine.Disk.Generation == 1 {
		return true
	}
	current := identity(d.number, d.machine.Disk.Generation)
	leader := s.leaderOf(m.group)
	if leader == nil || !d.machine.alive || !d.votes() {
		return false
	}
	status := leader.member(m.group).node.Status()
	return status.Membership.HasVoter(current) && status.Commit >= status.MembershipIndex
}

// replaceAfterRepair replaces the peer's disk as soon as d votes again.
func (s *tableSite) replaceAfterRepair(d, peer *daemon, outage time.Duration, until time.Duration) {
	if peer == nil || s.scheduler.Now() >= until || s.scheduler.Now() >= s.end-outage {
		return
	}
	if d.machine.alive && d.votes() && s.unrepairedPeer(peer) == "" {
		s.trace.Note("second-loss", string(peer.machine.Address), "right after the repair of "+string(d.machine.Address))
		s.replaceDisk(peer, outage)
		return
	}
	s.scheduler.After(repairPoll, func() { s.replaceAfterRepair(d, peer, outage, until) })
}
