package mirror

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/peers"
)

// Mirror is a relay's copy of the leader's published state. Create one with New. Its methods are
// not safe for concurrent use.
type Mirror struct {
	// term is the leader's term; 0 before the first answer.
	term uint64
	// beganAt is when the first answer of the term arrived.
	beganAt time.Time
	views   *fleet.Publisher
	// announced is the latest revision that was announced to all routers and that views has.
	announced uint64
	// awaited is the revision that the leader waits for, toldOf the one that it was last told of.
	awaited, toldOf uint64
	// state is the leader's last answer except View and Document.
	state     domainapi.WatchReply
	relayList domainapi.RelayList
	// roster holds the routers from which peers are selected, and regions the regions of zones.
	roster  *peers.Roster
	regions map[string]string
	// members is the version of relayList and the list of controllers.
	members uint64
	// document survives a change of the leader, since it is replicated.
	document domain.Document
	// loads are the leader's latest loads, packedLoads their packed form, and loadsAt when they arrived;
	// zero if there are none.
	loads       []fleet.Load
	packedLoads []byte
	loadsAt     time.Time
	// lag is how long answers of the leader take at present beyond the time for which it holds the
	// questions.
	lag time.Duration
	// askedAt is when the last answered question was asked, heardAt when the answer arrived.
	askedAt, heardAt time.Time
	contacts         map[string]*contact
}

// New returns a mirror without content, which is not current. regions maps zones to regions.
func New(regions map[string]string) *Mirror {
	return &Mirror{
		views: fleet.NewPublisher(), contacts: make(map[string]*contact), roster: peers.New(regions), regions: regions,
	}
}

// ErrUnusable means that an answer does not continue the mirror's content.
var ErrUnusable = errors.New("the leader's answer does not continue the mirror")

// Question returns the question for what has changed, with the contacts that the leader does not
// know.
func (m *Mirror) Question(now time.Time) domainapi.MirrorArguments {
	arguments := domainapi.MirrorArguments{
		Term: m.term, Revision: m.views.Revision(), Version: m.document.Version, Announced: m.announced,
		Members: m.members, Roster: m.roster.Version(), LoadsAge: m.loadsAge(now), Routers: m.dueContacts(now), HoldMS: domainapi.MillisecondsUp(m.hold()),
	}
	if m.state.Suspects != nil {
		arguments.Suspects = m.state.Suspects.Revision
	}
	return arguments
}

// Adopt takes over the answer to a question made at the given time and asked at a later one, if it
// was asked repeatedly. After an error the mirror is unchanged, or empty if the answer does not
// continue its view.
func (m *Mirror) Adopt(now, made, asked time.Time, question *domainapi.MirrorArguments, reply *domainapi.MirrorReply) error {
	state := &reply.State
	if state.Term < m.term {
		return errors.Wrap(ErrUnusable, "former leader")
	}
	var view *fleet.View
	if state.View != nil {
		decoded, err := state.View.Decode()
		if err != nil {
			return err
		}
		view = &decoded
	}
	loads, err := decodeLoads(state)
	if err != nil {
		return err
	}
	if state.Term > m.term {
		m.begin(state.Term)
		m.beganAt = now
	}
	if view != nil && !m.views.Adopt(*view, state.Revision) {
		m.begin(state.Term)
		return errors.Wrap(ErrUnusable, "partial view")
	}
	m.adoptState(reply)
	if !state.KeepsLoads {
		m.loads, m.packedLoads, m.loadsAt = loads, state.PackedLoads, now
	}
	m.askedAt, m.heardAt = asked, now
	m.observeLag(now.Sub(asked) - time.Duration(reply.HeldMS)*time.Millisecond)
	m.acknowledge(made, question, reply)
	for _, router := range reply.Notify {
		if known := m.contacts[router]; known != nil {
			known.isNotified = true
		}
	}
	return nil
}

// AdoptDocument takes over a document that was replicated to the relay, and reports whether it is newer
// than the mirror's. It needs no answer of the leader.
func (m *Mirror) AdoptDocument(document domain.Document) bool {
	if document.Version <= m.document.Version {
		return false
	}
	m.document = document
	return true
}

// NewerDocument returns the document if a router that has the given version lacks it, or nil.
func (m *Mirror) NewerDocument(version uint64) *domain.Document {
	if m.document.Version <= version {
		return nil
	}
	document := m.document
	return &document
}

// holdMargin is what remains of the time for which an answer is current after two questions.
const holdMargin = 100 * time.Millisecond

// hold returns how long the leader may hold the next question: as long that the answer to the question
// after it arrives while the mirror is still current. A leader that is slow holds less, so that its
// relays do not send their routers to it.
func (m *Mirror) hold() time.Duration {
	hold := (domainapi.MirrorTTL-holdMargin)/2 - m.lag
	return min(max(hold, time.Millisecond), domainapi.RelayHold)
}

// observeLag records how long an answer took beyond the time for which the question was held.
func (m *Mirror) observeLag(lag time.Duration) { m.lag = max(lag, m.lag/2) }

// begin drops everything of the former leader except the document.
func (m *Mirror) begin(term uint64) {
	m.term, m.views, m.announced, m.awaited, m.toldOf = term, fleet.NewPublisher(), 0, 0, 0
	m.state, m.relayList, m.members = domainapi.WatchReply{}, domainapi.RelayList{}, 0
	m.roster = peers.New(m.regions)
	m.askedAt, m.heardAt = time.Time{}, time.Time{}
	m.loads, m.packedLoads, m.loadsAt = nil, nil, time.Time{}
	for _, known := range m.contacts {
		known.forget()
		known.isNotified = false
	}
}

func (m *Mirror) adoptState(reply *domainapi.MirrorReply) {
	suspects, controllers := m.state.Suspects, m.state.Controllers
	m.state = reply.State
	if reply.Members == m.members {
		m.state.Controllers = controllers
	} else {
		m.members, m.relayList = reply.Members, reply.RelayList
	}
	if m.state.Suspects == nil {
		m.state.Suspects = suspects
	}
	if reply.Roster != nil {
		m.roster.Adopt(*reply.Roster)
	}
	if reply.State.Document != nil {
		m.AdoptDocument(*reply.State.Document)
	}
	m.state.View, m.state.Document, m.state.Loads, m.state.PackedLoads = nil, nil, nil, nil
	m.announced = min(reply.Announced, m.views.Revision())
	m.awaited = reply.Awaited
}

// decodeLoads returns the loads of an answer, or nil if the mirror keeps those that it has.
func decodeLoads(state *domainapi.WatchReply) ([]fleet.Load, error) {
	if state.KeepsLoads || len(state.PackedLoads) == 0 {
		return state.Loads, nil
	}
	return fleet.UnpackLoads(state.PackedLoads)
}

// loadsAge returns the time since loads arrived; 0 if there are none.
func (m *Mirror) loadsAge(now time.Time) time.Duration {
	if m.loadsAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(m.loadsAt))
}

// AdoptReport takes over the answer to a report made at the given time. It returns false, without a
// change, if the leader that answered is of another term.
func (m *Mirror) AdoptReport(made time.Time, report *domainapi.MirrorArguments, reply *domainapi.MirrorReply) bool {
	if reply.State.Term != m.term {
		return false
	}
	m.awaited = max(m.awaited, reply.Awaited)
	m.acknowledge(made, report, reply)
	return true
}

// CurrentUntil returns when the mirror stops being current unless the leader answers.
func (m *Mirror) CurrentUntil() time.Time { return m.askedAt.Add(domainapi.MirrorTTL) }

// IsCurrent reports whether the mirror may answer routers.
func (m *Mirror) IsCurrent(now time.Time) bool {
	return m.term != 0 && m.views.Revision() != 0 && now.Before(m.CurrentUntil())
}

// Term returns the leader's term; 0 if the mirror has no content.
func (m *Mirror) Term() uint64 { return m.term }

// Revision returns the revision of the mirror's view.
func (m *Mirror) Revision() uint64 { return m.views.Revision() }

// Age returns the time since the last answered question was asked; 0 if there was none.
func (m *Mirror) Age(now time.Time) time.Duration {
	if m.askedAt.IsZero() {
		return 0
	}
	return now.Sub(m.askedAt)
}
