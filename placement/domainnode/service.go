package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// commitTimeout bounds a write to or read of the replicated state.
	commitTimeout = 900 * time.Millisecond
	// maxControllers bounds the list of controllers in a reply.
	maxControllers = 64
)

// service is the net/rpc service of a controller.
type service struct{ node *Node }

// Describe returns the state of the member.
func (s *service) Describe(_ *domainapi.DescribeArguments, reply *domainapi.DescribeReply) error {
	m, err := s.node.current()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	status := m.group.Status()
	reply.Member = m.self
	reply.Held = status.Held
	reply.Voters = status.Members(status.Membership.Voters)
	reply.Committed = status.CommittedMembership
	reply.Applied = status.AppliedIndex
	reply.HasLeader = status.LeaderNode != raft.None
	if ordered := s.node.lastOrder.Load(); ordered != nil && !s.node.stopping.Load() {
		reply.HasOrdered = true
		reply.SinceOrder = s.node.now().Sub(*ordered)
	}
	return nil
}

// Found sets the initial members of a new group.
func (s *service) Found(arguments *domainapi.FoundArguments, reply *domainapi.Reply) error {
	m, err := s.node.current()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = m.group.Found(ctx, arguments.Members)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// leader returns the member and its leadership, or an error unless the lease holds.
func (s *service) leader() (*member, *leadership, error) {
	m, err := s.node.current()
	if err != nil {
		return nil, nil, err
	}
	current := m.currentLeadership()
	if current == nil || !current.isValid() {
		return nil, nil, notLeaderError(m)
	}
	return m, current, nil
}

func notLeaderError(m *member) error {
	status := m.group.Status()
	typed := structs.NewError(structs.ErrorNotLeader, "this controller does not lead", "Ask the leader.")
	if status.LeaderNode != status.Node {
		typed.Leader = status.LeaderAddress
	}
	return typed
}

// Join adds a member with an empty store as a learner. The same change removes learners that
// are former identities of its process; a former voter stays until the new member has
// caught up.
func (s *service) Join(arguments *domainapi.JoinArguments, reply *domainapi.Reply) error {
	m, _, err := s.leader()
	if err == nil {
		err = addLearner(m, arguments.Member)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func addLearner(m *member, joining group.Member) error {
	status := m.group.Status()
	if status.CommittedMembership.Has(joining.Node) {
		return nil
	}
	var replaced []raft.NodeID
	for _, learner := range status.Membership.Learners {
		if status.Names[learner] == joining.Name || status.Addresses[learner] == joining.Address {
			replaced = append(replaced, learner)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return m.group.AddLearner(ctx, joining, replaced...)
}

// Stopping records a member's planned stop.
func (s *service) Stopping(arguments *domainapi.StoppingArguments, reply *domainapi.Reply) error {
	_, current, err := s.leader()
	if err == nil {
		current.mutex.Lock()
		current.stopping[arguments.Node] = s.node.now()
		current.mutex.Unlock()
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// Heartbeats applies runner heartbeats.
func (s *service) Heartbeats(arguments *domainapi.HeartbeatsArguments, reply *domainapi.Reply) error {
	_, current, err := s.leader()
	if err == nil {
		current.receiveHeartbeats(arguments.Heartbeats)
		current.wakePlan()
		if !current.isValid() {
			err = notLeaderError(current.member)
		}
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// Depart commits a departure and notifies the routers.
func (s *service) Depart(arguments *domainapi.DepartArguments, reply *domainapi.Reply) error {
	m, current, err := s.leader()
	if err == nil {
		departure := arguments.Departure
		departure.Instance = current.resolveInstance(departure.Instance, arguments.Born)
		err = proposeDeparture(m, current, departure)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// resolveInstance returns the instance of a runner by its ID and start time; 0 selects its
// latest incarnation.
func (l *leadership) resolveInstance(id string, startTime int64) string {
	if startTime > 0 {
		return fleet.Incarnation(id, startTime)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.registry.Latest(id)
}

func proposeDeparture(m *member, current *leadership, departure domain.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), departReplyTime)
	defer cancel()
	var known domain.Departure
	var isKnown bool
	m.group.View(func() { known, isKnown = m.machine.Departure(departure.Instance) })
	if !isKnown || departure.Gone && !known.Gone {
		command, err := domain.Command{Depart: &departure}.Encode()
		if err != nil {
			return err
		}
		if _, err := m.group.Propose(ctx, command); err != nil {
			return err
		}
	} else if err := m.group.Read(ctx); err != nil {
		return err
	}
	if err := current.applyDeparture(ctx, departure); err != nil {
		return err
	}
	if !current.isValid() {
		return notLeaderError(m)
	}
	return nil
}

// Put commits a valid document if its version is higher than the current one.
func (s *service) Put(arguments *domainapi.PutArguments, reply *domainapi.Reply) error {
	m, current, err := s.leader()
	if err == nil {
		err = proposeDocument(m, current, arguments.Document)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func proposeDocument(m *member, current *leadership, document domain.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var held uint64
	m.group.View(func() { held = m.machine.Document().Version })
	if document.Version <= held {
		return m.group.Read(ctx)
	}
	command, err := domain.Command{Put: &document}.Encode()
	if err != nil {
		return err
	}
	if _, err := m.group.Propose(ctx, command); err != nil {
		return err
	}
	current.wakePlan()
	return nil
}

// Read returns the current document. The read is linearizable.
func (s *service) Read(_ *domainapi.ReadArguments, reply *domainapi.DocumentReply) error {
	m, _, err := s.leader()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = m.group.Read(ctx)
	}
	if err == nil {
		m.group.View(func() { reply.Document = m.machine.Document() })
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// Watch waits for changes to a router's state and returns them.
func (s *service) Watch(arguments *domainapi.WatchArguments, reply *domainapi.WatchReply) error {
	m, current, err := s.leader()
	if err != nil {
		if !s.node.relay.watch(arguments, reply) {
			reply.Error = structs.AsTyped(err)
		}
		return nil
	}
	known, knownSuspects := uint64(0), uint64(0)
	if arguments.Term == uint64(current.term) {
		known, knownSuspects = arguments.Revision, arguments.Suspects
	}
	s.node.workload.watches.Add(1)
	asked := s.node.now()
	reply.Routers, reply.Hold = current.recordContact(arguments.Router, known, arguments.MaxHold)
	current.noteTermChange(arguments)
	isRelayed := current.isLeftToRelays(arguments)
	if current.takeFullViewTurn(arguments) {
		known = 0
	}
	heldUntil := asked.Add(reply.Hold)
	timeout := time.NewTimer(reply.Hold)
	defer timeout.Stop()
	for {
		// Get the channels before checking for changes, so that none is missed.
		current.mutex.Lock()
		changed, announced := current.announcer.changed, current.announcer.announced
		notified := current.announcer.notification(arguments.Router)
		current.mutex.Unlock()
		var document domain.Document
		m.group.View(func() { document = m.machine.Document() })
		if isRelayed {
			s.node.workload.handOvers.Add(1)
			current.fillReply(reply, arguments, known, knownSuspects, document, false)
			break
		}
		hasChanges := announced.view > known || announced.document > arguments.Version || announced.suspects > knownSuspects
		if hasChanges && current.awaitReplySlot(known, document, arguments, heldUntil) {
			current.fillReply(reply, arguments, known, knownSuspects, document, true)
			break
		}
		select {
		case <-changed:
			continue
		case <-notified:
			current.fillReply(reply, arguments, known, knownSuspects, document, true)
		case <-timeout.C:
			// If changes are due but have no reply slot, send none: the router asks again immediately.
			current.fillReply(reply, arguments, known, knownSuspects, document, !hasChanges)
		}
		break
	}
	if !current.isValid() {
		*reply = domainapi.WatchReply{}
		reply.Error = structs.AsTyped(notLeaderError(m))
		return nil
	}
	current.fillLoads(reply, arguments, s.node.now().Sub(asked))
	fillControllers(reply, arguments, memberAddresses(m.group.Status()))
	reply.Relays = current.relaysFor(arguments)
	reply.Peers = current.peersFor(arguments)
	if reply.Relays != nil {
		current.handOver(arguments.Router, reply)
	}
	s.node.workload.addReply(reply)
	return nil
}

// awaitReplySlot waits for the slot of a reply with the view and document that the router
// lacks. It returns false immediately if the slot is later than until.
func (l *leadership) awaitReplySlot(known uint64, document domain.Document, arguments *domainapi.WatchArguments, until time.Time) bool {
	l.mutex.Lock()
	bytes := 0
	if l.views.Revision() != known {
		if view, _, err := l.viewFor(arguments.Router, known); err == nil {
			bytes = len(view.Bytes)
		}
	}
	l.mutex.Unlock()
	if document.Version > arguments.Version {
		bytes += len(document.Source)
	}
	now := l.now()
	wait, isTaken := l.replyPacer.reserve(now, bytes, until.Sub(now))
	if isTaken {
		pause.For(context.Background(), wait)
	}
	return isTaken
}

// fillReply sets the changes since the router's state; the view and the document only if hasContent
// is set.
func (l *leadership) fillReply(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, known, knownSuspects uint64, document domain.Document, hasContent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fillReplyLocked(reply, arguments, known, knownSuspects, document, hasContent)
}

// fillReplyLocked is fillReply for a caller that holds the mutex.
func (l *leadership) fillReplyLocked(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, known, knownSuspects uint64, document domain.Document, hasContent bool) {
	reply.Term = uint64(l.term)
	reply.Confirmed = document.Version
	if hasContent && document.Version > arguments.Version {
		reply.Document = &document
	}
	reply.Revision = known
	reply.Shares = l.shares.Overuse(l.now())
	reply.StreamLosses = l.streams.Rates(l.now())
	reply.MixedVersions, reply.OnlyVersions = l.versions.Mixed(), l.versions.Only()
	if arguments.Term != uint64(l.term) || l.poison.Revision() != knownSuspects {
		listed := l.poison.List(l.now())
		reply.Suspects = &listed
	}
	if l.takeWantedFullView(arguments.Router) {
		known = 0
		l.node.workload.wantedViews.Add(1)
	}
	if hasContent && l.views.Revision() != known {
		view, revision, err := l.viewFor(arguments.Router, known)
		if err != nil {
			level.Error(l.logger).Log("msg", "A view cannot be encoded.", "err", err)
			return
		}
		reply.View, reply.Revision = &view, revision
		if known == 0 && !l.routers[arguments.Router].lacksFullView {
			l.node.workload.fullViews.Add(1)
		}
	}
}
