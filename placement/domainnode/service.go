package domainnode

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// commitTimeout bounds a change or read of the replicated state.
	commitTimeout = 900 * time.Millisecond
	// maxControllers bounds the list of controllers in a reply.
	maxControllers = 64
)

// service is the net/rpc service of a controller.
type service struct{ node *Node }

// Describe describes the member.
func (s *service) Describe(_ *domainapi.DescribeArguments, reply *domainapi.DescribeReply) error {
	joined, err := s.node.current()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	status := joined.group.Status()
	reply.Member = joined.self
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

// Found gives the member the founding members.
func (s *service) Found(arguments *domainapi.FoundArguments, reply *domainapi.Reply) error {
	joined, err := s.node.current()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = joined.group.Found(ctx, arguments.Members)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// leader returns the member and its leadership while its lease holds.
func (s *service) leader() (*member, *leadership, error) {
	joined, err := s.node.current()
	if err != nil {
		return nil, nil, err
	}
	current := joined.leads()
	if current == nil || !current.isValid() {
		return nil, nil, notLeaderError(joined)
	}
	return joined, current, nil
}

func notLeaderError(joined *member) error {
	status := joined.group.Status()
	typed := structs.NewError(structs.ErrorNotLeader, "this controller does not lead", "Ask the leader.")
	if status.LeaderNode != status.Node {
		typed.Leader = status.LeaderAddress
	}
	return typed
}

// Join adds a member with an empty store as a learner. Identities that its process
// had before, and that are learners, leave in the same change; a voter among them
// stays until the new one has the whole log.
func (s *service) Join(arguments *domainapi.JoinArguments, reply *domainapi.Reply) error {
	joined, _, err := s.leader()
	if err == nil {
		err = joinLeader(joined, arguments.Member)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func joinLeader(joined *member, joining group.Member) error {
	status := joined.group.Status()
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
	return joined.group.AddLearner(ctx, joining, replaced...)
}

// Stopping notes a member's planned stop.
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

// Heartbeats takes heartbeats of runners.
func (s *service) Heartbeats(arguments *domainapi.HeartbeatsArguments, reply *domainapi.Reply) error {
	_, current, err := s.leader()
	if err == nil {
		for _, heartbeat := range arguments.Heartbeats {
			current.heard(heartbeat)
		}
		current.wakePlan()
		if !current.isValid() {
			err = notLeaderError(current.member)
		}
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// Depart makes a departure durable and known to the routers.
func (s *service) Depart(arguments *domainapi.DepartArguments, reply *domainapi.Reply) error {
	joined, current, err := s.leader()
	if err == nil {
		departure := arguments.Departure
		departure.Instance = current.departing(departure.Instance, arguments.Born)
		err = depart(joined, current, departure)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// departing names the life of a runner that departs.
func (l *leadership) departing(id string, born int64) string {
	if born > 0 {
		return fleet.Incarnation(id, born)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.registry.Latest(id)
}

func depart(joined *member, current *leadership, departure domain.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var known domain.Departure
	var isKnown bool
	joined.group.View(func() { known, isKnown = joined.machine.Departure(departure.Instance) })
	if !isKnown || departure.Gone && !known.Gone {
		command, err := domain.Command{Depart: &departure}.Encode()
		if err != nil {
			return err
		}
		if _, err := joined.group.Propose(ctx, command); err != nil {
			return err
		}
	} else if err := joined.group.Read(ctx); err != nil {
		return err
	}
	current.departed(ctx, departure)
	if !current.isValid() {
		return notLeaderError(joined)
	}
	return nil
}

// Put makes a valid document durable, if its version is above the one in force.
func (s *service) Put(arguments *domainapi.PutArguments, reply *domainapi.Reply) error {
	joined, current, err := s.leader()
	if err == nil {
		err = put(joined, current, arguments.Document)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func put(joined *member, current *leadership, document domain.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var held uint64
	joined.group.View(func() { held = joined.machine.Document().Version })
	if document.Version <= held {
		return joined.group.Read(ctx)
	}
	command, err := domain.Command{Put: &document}.Encode()
	if err != nil {
		return err
	}
	if _, err := joined.group.Propose(ctx, command); err != nil {
		return err
	}
	current.wakePlan()
	return nil
}

// Read returns the document in force, which is at least as new as any that was
// acknowledged before the call.
func (s *service) Read(_ *domainapi.ReadArguments, reply *domainapi.DocumentReply) error {
	joined, _, err := s.leader()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = joined.group.Read(ctx)
	}
	if err == nil {
		joined.group.View(func() { reply.Document = joined.machine.Document() })
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// Watch waits for news for a router.
func (s *service) Watch(arguments *domainapi.WatchArguments, reply *domainapi.WatchReply) error {
	joined, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	known, knownSuspects := uint64(0), uint64(0)
	if arguments.Term == uint64(current.term) {
		known, knownSuspects = arguments.Revision, arguments.Suspects
	}
	reply.Routers, reply.Hold = current.contact(arguments.Router, known, arguments.MaxHold)
	current.greet(arguments)
	if current.takesWholeView(arguments) {
		known = 0
	}
	heldUntil := s.node.now().Add(reply.Hold)
	timeout := time.NewTimer(reply.Hold)
	defer timeout.Stop()
	for {
		// Get the channel before looking, so that no change is missed.
		current.mutex.Lock()
		changed, told := current.announcer.changed, current.announcer.told
		notified := current.announcer.notification(arguments.Router)
		current.mutex.Unlock()
		var document domain.Document
		joined.group.View(func() { document = joined.machine.Document() })
		isNews := told.revision > known || told.document > arguments.Version || told.suspects > knownSuspects
		if isNews && current.awaitTurn(known, document, arguments, heldUntil) {
			current.fill(reply, arguments, known, knownSuspects, document, true)
			break
		}
		select {
		case <-changed:
			continue
		case <-notified:
			current.fill(reply, arguments, known, knownSuspects, document, true)
		case <-timeout.C:
			// The views of others come first: this router asks again at once.
			current.fill(reply, arguments, known, knownSuspects, document, !isNews)
		}
		break
	}
	if !current.isValid() {
		*reply = domainapi.WatchReply{}
		reply.Error = structs.AsTyped(notLeaderError(joined))
		return nil
	}
	controllers := memberAddresses(joined.group.Status())
	reply.Controllers = controllers[:min(len(controllers), maxControllers)]
	return nil
}

// awaitTurn waits until a router may be sent the view since what it knows, and the document if it lacks it. It
// returns false, at once, if that is later than a time.
func (l *leadership) awaitTurn(known uint64, document domain.Document, arguments *domainapi.WatchArguments, until time.Time) bool {
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
	wait, isTaken := l.answers.reserve(now, bytes, until.Sub(now))
	if isTaken {
		pause.For(context.Background(), wait)
	}
	return isTaken
}

// fill gives a router the news since what it knows; without the view where hasView is not set.
func (l *leadership) fill(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, known, knownSuspects uint64, document domain.Document, hasView bool) {
	reply.Term = uint64(l.term)
	reply.Confirmed = document.Version
	if document.Version > arguments.Version {
		reply.Document = &document
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply.Revision = known
	reply.Loads = l.loads
	reply.Shares = l.shares.Word(l.now())
	if arguments.Term != uint64(l.term) || l.poison.Revision() != knownSuspects {
		listed := l.poison.List(l.now())
		reply.Suspects = &listed
	}
	if l.takeWanted(arguments.Router) {
		known = 0
	}
	if hasView && l.views.Revision() != known {
		view, revision, err := l.viewFor(arguments.Router, known)
		if err != nil {
			level.Error(l.logger).Log("msg", "A view cannot be encoded.", "err", err)
			return
		}
		reply.View, reply.Revision = &view, revision
	}
}

// forecastTimeout bounds how long a report of requests that wait is held until the next
// plan: several times the usual pause between two plans.
const forecastTimeout = 200 * time.Millisecond

// Demand takes a router's report. If requests wait, the reply comes after the next plan,
// and tells when that expects their models to be ready.
func (s *service) Demand(arguments *domainapi.DemandArguments, reply *domainapi.DemandReply) error {
	_, current, err := s.leader()
	reply.Error = structs.AsTyped(err)
	if err != nil {
		return nil
	}
	current.mutex.Lock()
	current.planner.SetRouterZone(arguments.Router, arguments.Zone)
	current.planner.Observe(s.node.now(), arguments.Router, arguments.Demands)
	if current.planner.IsAnyHeld(arguments.Demands) {
		// The router waits for what it does not know to be there.
		current.notify(arguments.Router)
	}
	current.planner.Doubt(s.node.now(), arguments.Doubted)
	for _, instance := range arguments.Unreachable {
		current.registry.Complain(instance, arguments.Router)
	}
	current.observeAttempts(s.node.now(), arguments)
	current.observeLimits(s.node.now(), arguments)
	current.observeNotices(s.node.now(), arguments)
	current.planner.ObservePace(s.node.now(), arguments.Paces)
	current.observeLosses(s.node.now(), arguments)
	current.shares.Observe(s.node.now(), arguments.Router, arguments.Works)
	planned := current.planned
	current.mutex.Unlock()
	current.wakePlan()
	isWaiting := func(demand residency.Demand) bool { return demand.Waiting > 0 }
	if !slices.ContainsFunc(arguments.Demands, isWaiting) {
		return nil
	}
	timeout := time.NewTimer(forecastTimeout)
	defer timeout.Stop()
	select {
	case <-planned:
	case <-timeout.C:
		return nil
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	reply.Forecasts = current.planner.Forecasts(s.node.now(), arguments.Demands)
	return nil
}
