package mirror

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// catchUpTime is how long a router's question waits until the mirror has what the router has and
// the leader counts the router, from when it is asked or, if it is held then, from the first answer of a
// new leader. It is longer than two round trips between regions and shorter than the usual hold time, so
// that the router loses less by a relay that is behind than by a lost one.
const catchUpTime = 300 * time.Millisecond

// Action is what to do with a router's question.
type Action int

// Actions.
const (
	// Wait means to wait for a change of the mirror or the returned time.
	Wait Action = iota
	// Answer means to answer from the mirror.
	Answer
	// Redirect means to send the router to the leader.
	Redirect
)

// Next returns what to do with a router's question that arrived at asked and is held until
// heldUntil, and for Wait, until when.
func (m *Mirror) Next(now time.Time, arguments *domainapi.WatchArguments, asked, heldUntil time.Time) (Action, time.Time) {
	until := m.CurrentUntil()
	if !m.IsCurrent(now) {
		return Redirect, now
	}
	if !m.maySee(now, arguments) {
		until = earlier(until, later(asked, m.beganAt).Add(catchUpTime))
		if !now.Before(until) {
			return Redirect, now
		}
		return Wait, until
	}
	known := m.contacts[arguments.Router]
	if known.isNotified || m.hasNews(arguments) || !now.Before(heldUntil) {
		known.isNotified = false
		return Answer, now
	}
	return Wait, earlier(until, heldUntil)
}

// maySee reports whether the mirror's state is no older than the router's, and the leader counts
// the router.
func (m *Mirror) maySee(now time.Time, arguments *domainapi.WatchArguments) bool {
	known := m.contacts[arguments.Router]
	isBehind := arguments.Term > m.term || arguments.Term == m.term && arguments.Revision > m.views.Revision()
	return !isBehind && known != nil && known.isCounted(now) && m.views.Revision() >= known.atLeast
}

// MayAnswer reports whether the mirror is current and may answer the router.
func (m *Mirror) MayAnswer(now time.Time, arguments *domainapi.WatchArguments) bool {
	return m.IsCurrent(now) && m.maySee(now, arguments)
}

// hasNews reports whether something was announced that the router does not have.
func (m *Mirror) hasNews(arguments *domainapi.WatchArguments) bool {
	revision, suspects := uint64(0), uint64(0)
	if arguments.Term == m.term {
		revision, suspects = arguments.Revision, arguments.Suspects
	}
	hasSuspects := m.state.Suspects != nil && m.state.Suspects.Revision > suspects
	return m.announced > revision || m.document.Version > arguments.Version || hasSuspects
}

// Fill fills the answer to a router's question that arrived at asked. MayAnswer must hold.
func (m *Mirror) Fill(now time.Time, arguments *domainapi.WatchArguments, asked time.Time, reply *domainapi.WatchReply) error {
	known := m.contacts[arguments.Router]
	*reply = m.state
	reply.Hold = known.hold
	reply.Age = now.Sub(m.heardAt)
	m.fillLoads(now, arguments, asked, reply)
	if domainapi.HashAddresses(reply.Controllers) == arguments.Controllers {
		reply.Controllers = nil
	}
	reply.ConfirmedBefore = max(0, asked.Sub(m.askedAt))
	revision := uint64(0)
	if arguments.Term == m.term {
		revision = arguments.Revision
	}
	if arguments.Term == m.term && m.state.Suspects != nil && m.state.Suspects.Revision == arguments.Suspects {
		reply.Suspects = nil
	}
	reply.Document = m.NewerDocument(arguments.Version)
	if arguments.Relays != 0 && (arguments.Term != m.term || arguments.Relays != m.relayList.Version) {
		list := m.relayList
		reply.Relays = &list
	}
	if arguments.Peers != 0 && m.roster.Len() > 0 && (arguments.Term != m.term || arguments.Peers != m.roster.Version()) {
		selected := m.roster.Select(arguments.Router)
		reply.Peers = &selected
	}
	reply.Revision = revision
	return m.fillView(now, known, revision, reply)
}

// fillLoads sets the loads of a reply in the form that the router takes.
func (m *Mirror) fillLoads(now time.Time, arguments *domainapi.WatchArguments, asked time.Time, reply *domainapi.WatchReply) {
	reply.LoadsAge = m.loadsAge(now)
	reply.KeepsLoads = arguments.TakesPackedLoads && (m.loadsAt.IsZero() || !arguments.WantsLoads(m.term, now.Sub(asked)))
	switch {
	case reply.KeepsLoads:
	case arguments.TakesPackedLoads:
		reply.PackedLoads = m.packedLoads
	default:
		reply.Loads = m.loads
	}
}

func (m *Mirror) fillView(now time.Time, known *contact, revision uint64, reply *domainapi.WatchReply) error {
	switch {
	case revision == m.views.Revision():
		return nil
	case revision == 0:
		view, at, err := m.views.Whole(now, known.atLeast)
		reply.View, reply.Revision = &view, at
		return err
	}
	view, err := m.views.EncodedSince(revision)
	reply.View, reply.Revision = &view, m.views.Revision()
	return err
}

// ReplyBytes returns about how many bytes the view and document take that the router lacks.
func (m *Mirror) ReplyBytes(now time.Time, arguments *domainapi.WatchArguments) int {
	var reply domainapi.WatchReply
	bytes := 0
	if !m.MayAnswer(now, arguments) || m.Fill(now, arguments, now, &reply) != nil {
		return 0
	}
	if reply.View != nil {
		bytes += len(reply.View.Bytes)
	}
	if reply.Document != nil {
		bytes += len(reply.Document.Source)
	}
	return bytes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
