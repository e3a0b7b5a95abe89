package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Mirror waits for changes to what a relay passes on to routers and returns them. A report is
// answered immediately.
func (s *service) Mirror(arguments *domainapi.MirrorArguments, reply *domainapi.MirrorReply) error {
	m, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	asked := s.node.now()
	from := current.recordMirror(arguments)
	if from == nil {
		reply.IsUnwanted = true
		return nil
	}
	if arguments.IsReport {
		current.fillReport(reply)
		s.node.workload.reports.Add(1)
	} else {
		s.node.workload.questions.Add(1)
		reply.HeldMS = domainapi.MillisecondsUp(current.awaitMirrorNews(from, arguments))
		var document domain.Document
		m.group.View(func() { document = m.machine.Document() })
		controllers := memberAddresses(m.group.Status())
		controllers = controllers[:min(len(controllers), maxControllers)]
		// A step may hold the mutex for long in a large fleet, so that it is taken once for the answer.
		current.lock()
		current.fillMirror(from, arguments, document, reply)
		current.fillLoadsLocked(&reply.State, arguments.Watch(), s.node.now().Sub(asked))
		current.fillMembers(from, controllers, arguments, reply)
		current.fillRoster(arguments, reply)
		current.mutex.Unlock()
		s.node.workload.addReply(&reply.State)
	}
	if !current.isValid() {
		*reply = domainapi.MirrorReply{}
		reply.Error = structs.AsTyped(notLeaderError(m))
	}
	return nil
}

// fillMembers sets the lists of relays and controllers unless the relay has them. The caller holds the
// mutex.
func (l *leadership) fillMembers(from *relayContact, controllers []string, arguments *domainapi.MirrorArguments, reply *domainapi.MirrorReply) {
	list := l.relayListFor(from)
	reply.Members = membersVersion(&list, controllers)
	if arguments.Term != uint64(l.term) || arguments.Members != reply.Members {
		reply.RelayList, reply.State.Controllers = list, controllers
	}
}

// recordMirror records a relay's question or report with its routers. It returns nil if the leader wants
// no relays.
func (l *leadership) recordMirror(arguments *domainapi.MirrorArguments) *relayContact {
	l.lock()
	defer l.mutex.Unlock()
	if !l.wantsRelays(arguments.Term) {
		return nil
	}
	at := l.now()
	known := l.relays.byName[arguments.Relay]
	if known == nil || known.address != arguments.Address {
		level.Info(l.logger).Log("msg", "A controller relays to routers.", "relay", arguments.Relay,
			"address", arguments.Address, "zone", arguments.Zone)
	}
	from := l.relays.observe(at, arguments, arguments.Term == uint64(l.term))
	for _, relayed := range arguments.Routers {
		l.recordRelayed(at, arguments, relayed)
	}
	l.expireContacts(at)
	return from
}

// awaitMirrorNews waits until there is something to tell a relay, at most for the hold time. It returns
// how long it waited for that, without the time that it waited for the mutex.
func (l *leadership) awaitMirrorNews(from *relayContact, arguments *domainapi.MirrorArguments) (held time.Duration) {
	timeout := time.NewTimer(arguments.Hold())
	defer timeout.Stop()
	for {
		l.mutex.Lock()
		changed, hasNews := l.announcer.changed, l.hasMirrorNews(from, arguments)
		l.mutex.Unlock()
		if hasNews {
			return held
		}
		began := l.now()
		select {
		case <-changed:
		case <-from.wake:
		case <-timeout.C:
			return held + l.now().Sub(began)
		}
		held += l.now().Sub(began)
	}
}

// hasMirrorNews reports whether a relay must be told something. The caller holds the mutex.
func (l *leadership) hasMirrorNews(from *relayContact, arguments *domainapi.MirrorArguments) bool {
	announced, suspects := arguments.Announced, arguments.Suspects
	if arguments.Term != uint64(l.term) {
		announced, suspects = 0, 0
	}
	newest := l.announcer.announced
	return l.ended || newest.view > announced || newest.document > arguments.Version || newest.suspects > suspects ||
		len(from.notify) > 0 || l.relays.awaitedAt(l.now()) > from.toldOf
}

// fillMirror sets what has changed since the relay's state. The caller holds the mutex.
func (l *leadership) fillMirror(from *relayContact, arguments *domainapi.MirrorArguments, document domain.Document, reply *domainapi.MirrorReply) {
	revision, suspects := uint64(0), uint64(0)
	if arguments.Term == uint64(l.term) {
		revision, suspects = arguments.Revision, arguments.Suspects
	}
	reply.Notify = from.takeNotified()
	reply.Awaited = l.relays.awaitedAt(l.now())
	from.toldOf = max(from.toldOf, reply.Awaited)
	reply.Announced = l.announcer.announced.view
	reply.State.Routers = len(l.routers)
	l.fillReplyLocked(&reply.State, arguments.Watch(), revision, suspects, document, true)
}

// fillReport answers a report.
func (l *leadership) fillReport(reply *domainapi.MirrorReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply.State.Term = uint64(l.term)
	reply.Announced = l.announcer.announced.view
	reply.Awaited = l.relays.awaitedAt(l.now())
}
