package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// pollWait bounds a long poll, as the daemon's maxWait does.
	pollWait = 2 * time.Second
	// retryPause separates two tries at different members of a group.
	retryPause = 50 * time.Millisecond
	// proposeTimeout bounds a proposal made for another daemon.
	proposeTimeout = 4 * time.Second
)

// zoneMachine is the state machine of a zone's group.
type zoneMachine struct {
	state *zone.State
	cost  *costs
}

// Apply implements machine.
func (m *zoneMachine) Apply(index uint64, encoded []byte) any {
	var result zone.Result
	m.cost.whole(partZoneApply, func() {
		command, err := zone.DecodeCommand(encoded)
		if err != nil {
			panic(err)
		}
		result = m.state.Apply(index, command)
	})
	return result
}

// Snapshot implements machine.
func (m *zoneMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements machine.
func (m *zoneMachine) Restore(data []byte) error { return m.state.Restore(data) }

// sizedView is a view with the bytes of its reply.
type sizedView struct {
	view  structs.ZoneView
	bytes int
	// inUse is the view's table for routers that keep the rows in use only.
	inUse structs.TableDelta
}

// viewPoll is a long poll of a router.
type viewPoll struct {
	key    structs.ViewRequest
	answer answerFunc
	then   func(sizedView)
	ended  bool
}

// zoneMember is one member of a zone's group with its service.
type zoneMember struct {
	*raftMember
	home    *zoneSite
	machine *zoneMachine
	parked  []*viewPoll
	// views holds the views made since the last change; routers that are equally
	// far get equal ones.
	views map[structs.ViewRequest]sizedView
	// nextPart is when the next part of a whole table may be sent.
	nextPart int64
	demand   []structs.DemandReport
	leader   *zoneLeader
}

func (s *site) openZoneGroups() {
	for _, home := range s.zones {
		var members []*raftMember
		var membership raft.Membership
		for index, owner := range home.voters {
			id := raft.NodeID(index + 1)
			membership.Voters = append(membership.Voters, id)
			member := &zoneMember{home: home, views: map[structs.ViewRequest]sizedView{}, machine: &zoneMachine{state: zone.New(home.id), cost: &home.cost}}
			member.raftMember = &raftMember{
				site: s, owner: owner, name: fmt.Sprintf("zone-%s", home.id), id: id, machine: member.machine, seed: s.options.Seed,
			}
			member.raftMember.applied = member.wake
			member.leader = newZoneLeader(member)
			owner.member = member
			members = append(members, member.raftMember)
		}
		s.connectMembers(members, membership)
		for _, owner := range home.voters {
			home.after(0, owner.member.leader.start)
		}
	}
}

// restart opens the member again from its disk, with an empty state machine.
func (m *zoneMember) restart() {
	m.machine.state = zone.New(m.home.id)
	m.parked = nil
	m.nextPart = 0
	m.demand = nil
	m.leader = newZoneLeader(m)
	m.open()
	m.leader.start()
}

// poll serves a long poll for the zone's view.
func (m *zoneMember) poll(poll *viewPoll) {
	if m.machine.state.AnswersPart(poll.key) {
		m.nextPart = max(m.nextPart, m.home.now) + int64(daemon.ViewPartPause)
		m.home.at(m.nextPart-int64(daemon.ViewPartPause), func() { m.answerPoll(poll, true) })
		return
	}
	if m.answerPoll(poll, false) {
		return
	}
	m.parked = append(m.parked, poll)
	m.home.after(pollWait, func() { m.answerPoll(poll, true) })
}

func (m *zoneMember) answerPoll(poll *viewPoll, over bool) bool {
	if poll.ended {
		return true
	}
	made := m.view(poll.key)
	if !over && !made.view.IsNews(poll.key.SinceTable) {
		return false
	}
	poll.ended = true
	poll.answer(made.bytes, func() { poll.then(made) })
	return true
}

func (m *zoneMember) view(key structs.ViewRequest) sizedView {
	if made, known := m.views[key]; known {
		return made
	}
	var made sizedView
	m.cost().whole(partZoneView, func() { made.view = m.machine.state.ViewFor(key) })
	made.view.Epoch = structs.Epoch(m.node.Term())
	m.cost().whole(partCodec, func() {
		made.bytes = m.home.sizer.reply(methodZoneView, daemon.ViewReply{View: made.view})
	})
	made.inUse = m.home.site.rowsInUse(made.view.Table)
	m.views[key] = made
	return made
}

// wake answers the polls that have news after something was applied.
func (m *zoneMember) wake() {
	m.views = map[structs.ViewRequest]sizedView{}
	m.home.noteAdopted(m)
	parked := m.parked
	m.parked = nil
	for _, poll := range parked {
		if !m.answerPoll(poll, false) {
			m.parked = append(m.parked, poll)
		}
	}
}

// proposeZone sends a command to the zone's leader from a router; done gets a
// nil error once it is decided.
func (r *routerNode) proposeZone(kind traffic, command zone.Command, done func(zone.Result, *structs.Error)) {
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	home := r.owner.zone
	bytes := home.sizer.call(methodZonePropose, daemon.ProposeArguments{Command: encoded})
	deadline := home.now + int64(proposeTimeout)
	r.askLeader(kind, bytes, deadline, func(m *zoneMember, answer answerFunc, elsewhere func()) {
		m.propose(encoded, func(result any, err *structs.Error) {
			if err != nil {
				answer(home.sizer.reply(methodZonePropose, daemon.ZoneReply{Error: err}), elsewhere)
				return
			}
			decided := result.(zone.Result)
			answer(home.sizer.reply(methodZonePropose, daemon.ZoneReply{Result: decided}), func() { done(decided, nil) })
		})
	}, func() {
		done(zone.Result{}, structs.NewError(structs.ErrorUnavailable, "the zone has no leader", "Send it again."))
	})
}

// askLeader tries the members of the zone's group in turn until the leader serves
// the call or the deadline has passed.
func (r *routerNode) askLeader(kind traffic, bytes int, deadline int64, serve func(m *zoneMember, answer answerFunc, elsewhere func()), failed func()) {
	home := r.owner.zone
	life := r.owner.life
	var try func()
	elsewhere := func() {
		r.leaderGuess = (r.leaderGuess + 1) % len(home.voters)
		home.after(retryPause, func() {
			if !r.owner.alive || r.owner.life != life {
				return
			}
			if home.now >= deadline {
				failed()
				return
			}
			try()
		})
	}
	try = func() {
		target := home.voters[r.leaderGuess]
		home.site.call(r.owner, target, kind, bytes, func(answer answerFunc) {
			if !target.member.leads() {
				answer(notLeaderBytes(home.sizer), elsewhere)
				return
			}
			serve(target.member, answer, elsewhere)
		}, elsewhere)
	}
	try()
}

func notLeaderBytes(sizer *sizer) int {
	refusal := structs.NewError(structs.ErrorNotLeader, "this controller does not lead the zone", "Ask the zone's leader.")
	return sizer.reply(methodZoneDemand, daemon.DemandReply{Error: refusal})
}
