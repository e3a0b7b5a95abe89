package mirror

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// contact is the relay's state of a router.
type contact struct {
	// at is when the router last asked, hold how long its watch is held from then.
	at   time.Time
	hold time.Duration
	// term and revision identify the router's view when it last asked.
	term, revision uint64
	// acknowledgedAt is the latest contact of which the leader has said in this term that it
	// knows it; zero if none. acknowledgedHold and acknowledgedRevision are those of that contact.
	acknowledgedAt       time.Time
	acknowledgedHold     time.Duration
	acknowledgedRevision uint64
	// atLeast is the lowest revision that the router may get: the one announced when the leader
	// began to count it. Departures acknowledged before did not wait for the router.
	atLeast uint64
	// isNotified is set if its watch must be answered immediately.
	isNotified bool
}

// isCounted reports whether the leader counts the router as active, so that it waits for the
// router before it acknowledges a departure.
func (c *contact) isCounted(now time.Time) bool {
	return !c.acknowledgedAt.IsZero() && now.Before(c.acknowledgedAt.Add(c.acknowledgedHold+domainapi.ContactMargin))
}

// forget records that the leader does not count the router.
func (c *contact) forget() { c.acknowledgedAt, c.atLeast = time.Time{}, 0 }

// isActive reports whether the router may still wait for an answer or use the last one.
func (c *contact) isActive(now time.Time) bool {
	return now.Before(c.at.Add(c.hold + domainapi.ContactMargin))
}

// Observe records a router's watch, which is held for the given time.
func (m *Mirror) Observe(now time.Time, arguments *domainapi.WatchArguments, hold time.Duration) {
	known := m.contacts[arguments.Router]
	if known == nil {
		known = &contact{}
		m.contacts[arguments.Router] = known
	}
	// A router without a view has started anew: it has lost what the leader knows it to have.
	if !known.isCounted(now) || arguments.Term == 0 || arguments.Revision == 0 {
		known.forget()
	}
	known.at, known.hold, known.term, known.revision = now, hold, arguments.Term, arguments.Revision
}

// Routers returns the number of routers in contact, and forgets the others.
func (m *Mirror) Routers(now time.Time) int {
	maps.DeleteFunc(m.contacts, func(_ string, known *contact) bool { return !known.isActive(now) })
	return len(m.contacts)
}

// SiteRouters returns the number of routers of the leader and all its relays, as of its last answer.
func (m *Mirror) SiteRouters() int { return m.state.Routers }

// refreshTime is the age of the contact known to the leader from which a question states a later
// one. It leaves the time of two questions before the leader counts the router no more; a question
// that states all contacts takes about as many bytes for them as for everything else.
const refreshTime = 500 * time.Millisecond

// dueContacts returns the contacts to be stated in a question: those of which the leader knows no
// recent one, and all new ones while it waits for a revision.
func (m *Mirror) dueContacts(now time.Time) []domainapi.RelayedRouter {
	return m.contactsIf(now, func(known *contact) bool {
		return m.awaited > m.toldOf || now.Sub(known.acknowledgedAt) >= refreshTime
	})
}

// newContacts returns the contacts that the leader does not know.
func (m *Mirror) newContacts(now time.Time) []domainapi.RelayedRouter {
	return m.contactsIf(now, func(*contact) bool { return true })
}

// contactsIf returns the contacts that the leader does not know and that are selected, sorted by
// name.
func (m *Mirror) contactsIf(now time.Time, isSelected func(*contact) bool) []domainapi.RelayedRouter {
	var listed []domainapi.RelayedRouter
	for _, router := range slices.Sorted(maps.Keys(m.contacts)) {
		known := m.contacts[router]
		if !known.isActive(now) || m.isAcknowledged(known) || !isSelected(known) {
			continue
		}
		listed = append(listed, domainapi.RelayedRouter{
			Router: router, Revision: m.knownRevision(known),
			AgeMS: domainapi.MillisecondsUp(now.Sub(known.at)), HoldMS: domainapi.MillisecondsUp(known.hold),
		})
	}
	return listed
}

// isAcknowledged reports whether the leader knows the last contact. Messages state times in whole
// milliseconds.
func (m *Mirror) isAcknowledged(known *contact) bool {
	return known.at.Sub(known.acknowledgedAt) <= time.Millisecond && m.knownRevision(known) == known.acknowledgedRevision
}

// knownRevision returns the router's revision in the mirror's term; 0 if it has none.
func (m *Mirror) knownRevision(known *contact) uint64 {
	if known.term != m.term {
		return 0
	}
	return known.revision
}

// acknowledge records that the leader knows the contacts of a message made at the given time.
func (m *Mirror) acknowledge(made time.Time, message *domainapi.MirrorArguments, reply *domainapi.MirrorReply) {
	for _, each := range message.Routers {
		known := m.contacts[each.Router]
		if known == nil {
			continue
		}
		if known.acknowledgedAt.IsZero() {
			known.atLeast = reply.Announced
		}
		if at := made.Add(-each.Age()); !at.Before(known.acknowledgedAt) {
			known.acknowledgedAt, known.acknowledgedHold, known.acknowledgedRevision = at, each.Hold(), each.Revision
		}
	}
}

// Report returns a message for the leader if it must be told before the next question: of routers
// that wait until it counts them, or that all routers have the revision that it waits for.
func (m *Mirror) Report(now time.Time) (report domainapi.MirrorArguments, isDue bool) {
	if !m.IsCurrent(now) {
		return report, false
	}
	hasAll := m.awaited > m.toldOf
	for _, known := range m.contacts {
		if !known.isActive(now) {
			continue
		}
		isDue = isDue || !known.isCounted(now)
		hasAll = hasAll && m.knownRevision(known) >= m.awaited
	}
	if !isDue && !hasAll {
		return report, false
	}
	if hasAll {
		m.toldOf = m.awaited
	}
	report = domainapi.MirrorArguments{Term: m.term, IsReport: true, Routers: m.newContacts(now)}
	return report, len(report.Routers) > 0
}

// FailReport records that the leader may not have received a report.
func (m *Mirror) FailReport() { m.toldOf = 0 }
