package hollow

import (
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// The methods of the daemon's services, as the headers of calls name them.
const (
	methodGlobalPropose = "Global.Propose"
	methodGlobalDelta   = "Global.Delta"
	methodZonePropose   = "Zone.Propose"
	methodZoneView      = "Zone.View"
	methodZoneDemand    = "Zone.Demand"
	methodZoneReports   = "Zone.Reports"
)

// tableMachine is the state machine of the global group.
type tableMachine struct {
	state *table.State
	cost  *costs
}

// Apply implements machine.
func (m *tableMachine) Apply(_ uint64, encoded []byte) any {
	var result table.Result
	m.cost.whole(partTable, func() {
		command, err := table.DecodeCommand(encoded)
		if err != nil {
			panic(err)
		}
		result = m.state.Apply(command)
	})
	return result
}

// Snapshot implements machine.
func (m *tableMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements machine.
func (m *tableMachine) Restore(data []byte) error { return m.state.Restore(data) }

// globalMember is one member of the global group and its service.
type globalMember struct {
	*raftMember
	table  *tableMachine
	parked []*deltaPoll
}

// deltaPoll is a long poll of a zone leader.
type deltaPoll struct {
	zone   structs.ZoneID
	since  uint64
	answer answerFunc
	then   func(structs.TableDelta)
	ended  bool
}

func (s *site) openGlobalGroup() {
	var members []*raftMember
	var membership raft.Membership
	for index, owner := range s.globals {
		id := raft.NodeID(index + 1)
		membership.Voters = append(membership.Voters, id)
		member := &globalMember{table: &tableMachine{state: table.New(), cost: &owner.zone.cost}}
		member.raftMember = &raftMember{site: s, owner: owner, name: "global", id: id, machine: member.table, seed: s.options.Seed}
		member.raftMember.applied = member.wake
		owner.global = member
		members = append(members, member.raftMember)
	}
	s.connectMembers(members, membership)
}

// connectMembers introduces the members of a group to each other and starts them.
func (s *site) connectMembers(members []*raftMember, membership raft.Membership) {
	for _, member := range members {
		member.bootstrap = membership
		for _, peer := range members {
			if peer != member {
				member.peers = append(member.peers, peer)
			}
		}
	}
	for _, member := range members {
		member.owner.zone.after(0, member.open)
	}
}

// poll serves a long poll for the table's changes.
func (g *globalMember) poll(poll *deltaPoll) {
	if g.answerPoll(poll, false) {
		return
	}
	g.parked = append(g.parked, poll)
	g.owner.zone.after(pollWait, func() { g.answerPoll(poll, true) })
}

// answerPoll answers a poll that has news, or in any case when its wait is over.
func (g *globalMember) answerPoll(poll *deltaPoll, over bool) bool {
	if poll.ended {
		return true
	}
	if !over && g.table.state.Revision() <= poll.since {
		return false
	}
	poll.ended = true
	var delta structs.TableDelta
	g.cost().whole(partDelta, func() { delta = g.table.state.Delta(poll.zone, poll.since) })
	var bytes int
	g.cost().whole(partCodec, func() {
		bytes = g.owner.zone.sizer.reply(methodGlobalDelta, daemon.DeltaReply{Delta: delta})
	})
	poll.answer(bytes, func() { poll.then(delta) })
	return true
}

// wake answers the polls that have news after something was applied.
func (g *globalMember) wake() {
	parked := g.parked
	g.parked = nil
	for _, poll := range parked {
		if !g.answerPoll(poll, false) {
			g.parked = append(g.parked, poll)
		}
	}
}

// proposeGlobal sends a command to the global group from any daemon: it tries
// the members in turn until the leader decides it.
func (s *site) proposeGlobal(from *process, kind traffic, command table.Command, done func(table.Result)) {
	encoded, err := table.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	bytes := from.zone.sizer.call(methodGlobalPropose, daemon.ProposeArguments{Command: encoded})
	life := from.life
	var try func(member int)
	again := func(member int) {
		from.zone.after(retryPause, func() {
			if from.alive && from.life == life {
				try((member + 1) % len(s.globals))
			}
		})
	}
	try = func(member int) {
		target := s.globals[member]
		s.call(from, target, kind, bytes, func(answer answerFunc) {
			target.global.serveProposal(encoded, answer, func(result table.Result) {
				from.zone.box.globalLeader = member
				done(result)
			}, func() { again(member) })
		}, func() { again(member) })
	}
	try(s.guessLeader(from))
}

// guessLeader returns the member that answered this zone last.
func (s *site) guessLeader(from *process) int { return from.zone.box.globalLeader }

func (g *globalMember) serveProposal(encoded []byte, answer answerFunc, done func(table.Result), elsewhere func()) {
	sizer := g.owner.zone.sizer
	if !g.leads() {
		refusal := structs.NewError(structs.ErrorNotLeader, "this member does not lead", "Ask the leader of the global group.")
		answer(sizer.reply(methodGlobalPropose, daemon.GlobalReply{Error: refusal}), elsewhere)
		return
	}
	g.propose(encoded, func(result any, err *structs.Error) {
		if err != nil {
			answer(sizer.reply(methodGlobalPropose, daemon.GlobalReply{Error: err}), elsewhere)
			return
		}
		decided := result.(table.Result)
		answer(sizer.reply(methodGlobalPropose, daemon.GlobalReply{Result: decided}), func() { done(decided) })
	})
}
