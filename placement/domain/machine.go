package domain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
)

// maxDepartures bounds the departures that are remembered; the oldest go first.
// Instances are never reused, so that only those of the last minutes matter.
const maxDepartures = 2048

// maxStoreLimits bounds the services whose weight stores are remembered.
const maxStoreLimits = 64

// maxReservations bounds the reservations that are remembered. Beyond it the oldest two count
// as one, as young as the second of them.
const maxReservations = 1024

// Machine is the state machine. Its methods must not run at the same time, as
// group.Group provides.
type Machine struct {
	document Document
	// departures is in the order of arrival; index finds an instance in it.
	departures []Departure
	index      map[string]int
	// registrations is by instance.
	registrations map[string]Registration
	// addresses names the instance that is registered at each address.
	addresses map[string]string
	// lives names the instance that is registered under each ID.
	lives map[string]string
	// storeLimits is by service.
	storeLimits map[string]StoreLimit
	// reservations is in the order of the log.
	reservations []Reservation
	// suspects is in the order of their last records.
	suspects []poison.Record
	// drained holds the zones whose runners get no new requests.
	drained map[string]struct{}
}

var _ group.StateMachine = (*Machine)(nil)

// NewMachine makes an empty state machine.
func NewMachine() *Machine {
	return &Machine{
		index:         make(map[string]int),
		registrations: make(map[string]Registration),
		addresses:     make(map[string]string),
		lives:         make(map[string]string),
		storeLimits:   make(map[string]StoreLimit),
		drained:       make(map[string]struct{}),
	}
}

// Apply implements group.StateMachine. The result is a Result, or an error for a
// command that cannot be decoded.
func (m *Machine) Apply(_, _ uint64, command []byte) any {
	var decoded Command
	if err := msgpack.Unmarshal(command, &decoded); err != nil {
		return errors.Wrap(err, "decode command of the domain")
	}
	switch {
	case decoded.Put != nil:
		m.put(*decoded.Put)
	case decoded.Depart != nil:
		m.depart(*decoded.Depart)
	case decoded.Drain != nil:
		m.drain(*decoded.Drain)
	}
	for _, registration := range decoded.Registrations {
		m.register(registration)
	}
	for _, instance := range decoded.Silent {
		m.forget(instance)
	}
	for _, limit := range decoded.StoreLimits {
		m.limitStore(limit)
	}
	if decoded.Reserve != nil {
		m.reserve(*decoded.Reserve)
	}
	for _, record := range decoded.Suspects {
		m.suspect(record)
	}
	return Result{Version: m.document.Version}
}

// put takes a document only if its version is above the one in force: other content
// under the same version never replaces what was acknowledged.
func (m *Machine) put(document Document) {
	if document.Version <= m.document.Version {
		return
	}
	m.document = document
}

// register notes a runner. An address has one runner, and a runner one life: who was registered there before, or
// under the same ID, has ended.
func (m *Machine) register(registration Registration) {
	if departure, known := m.Departure(registration.Instance); known && departure.Gone {
		return
	}
	id, born := fleet.SplitIncarnation(registration.Instance)
	if _, registeredBorn := fleet.SplitIncarnation(m.lives[id]); registeredBorn > born {
		return
	}
	m.forget(m.addresses[registration.Address])
	m.forget(m.lives[id])
	m.add(registration)
}

func (m *Machine) add(registration Registration) {
	m.registrations[registration.Instance] = registration
	m.addresses[registration.Address] = registration.Instance
	m.lives[fleet.IDOf(registration.Instance)] = registration.Instance
}

func (m *Machine) forget(instance string) {
	known, isKnown := m.registrations[instance]
	if !isKnown {
		return
	}
	delete(m.registrations, instance)
	delete(m.addresses, known.Address)
	delete(m.lives, fleet.IDOf(instance))
}

// limitStore notes what was learned of a weight store, the least of which is lost.
func (m *Machine) limitStore(limit StoreLimit) {
	if _, isKnown := m.storeLimits[limit.Service]; isKnown || len(m.storeLimits) < maxStoreLimits {
		m.storeLimits[limit.Service] = limit
	}
}

// reserve remembers a reservation, and forgets those that nobody needs any more.
func (m *Machine) reserve(reservation Reservation) {
	m.reservations = append(m.reservations, reservation)
	age, first := time.Duration(0), len(m.reservations)-1
	for first > 0 {
		age += m.reservations[first].Since
		if age > reservation.Keep {
			break
		}
		first--
	}
	m.reservations = slices.Delete(m.reservations, 0, first)
	if len(m.reservations) > maxReservations {
		m.reservations[1].Parts = slices.Concat(m.reservations[0].Parts, m.reservations[1].Parts)
		m.reservations = slices.Delete(m.reservations, 0, 1)
	}
}

// maxSuspects bounds the requests that are remembered as suspects; those of which nothing was
// heard for longest go first.
const maxSuspects = 1024

// suspect notes what is new about a request that may crash runners.
func (m *Machine) suspect(record poison.Record) {
	m.suspects = slices.DeleteFunc(m.suspects, func(known poison.Record) bool { return known.Digest == record.Digest })
	if record.IsCleared {
		return
	}
	m.suspects = append(m.suspects, record)
	if len(m.suspects) > maxSuspects {
		m.suspects = slices.Delete(m.suspects, 0, 1)
	}
}

// Suspects lists the requests that may crash runners, those that were heard of last at the end.
func (m *Machine) Suspects() []poison.Record { return slices.Clone(m.suspects) }

// Reservations lists the reservations that count for a leader that begins now, each with its
// least age.
func (m *Machine) Reservations() []quota.Reservation {
	listed := make([]quota.Reservation, len(m.reservations))
	age := time.Duration(0)
	for i := len(m.reservations) - 1; i >= 0; i-- {
		listed[i] = quota.Reservation{Age: age, Parts: m.reservations[i].Parts}
		age += m.reservations[i].Since
	}
	return listed
}

// StoreLimit returns what was learned of the weight store of a service.
func (m *Machine) StoreLimit(service string) (StoreLimit, bool) {
	limit, isKnown := m.storeLimits[service]
	return limit, isKnown
}

// StoreLimits lists what was learned of weight stores by service.
func (m *Machine) StoreLimits() []StoreLimit {
	return slices.SortedFunc(maps.Values(m.storeLimits), func(a, b StoreLimit) int {
		return strings.Compare(a.Service, b.Service)
	})
}

// depart is final: a runner that is leaving never becomes ready again under the
// same instance, and one that is gone is not leaving again.
func (m *Machine) depart(departure Departure) {
	if departure.Gone {
		m.forget(departure.Instance)
	}
	if at, known := m.index[departure.Instance]; known {
		if departure.Gone && !m.departures[at].Gone {
			m.departures[at].Gone = true
		}
		return
	}
	m.departures = append(m.departures, departure)
	if len(m.departures) > maxDepartures {
		m.departures = slices.Delete(m.departures, 0, len(m.departures)-maxDepartures)
	}
	m.reindex()
}

func (m *Machine) reindex() {
	clear(m.index)
	for at, departure := range m.departures {
		m.index[departure.Instance] = at
	}
}

// Document returns the document in force; its version is 0 before the first.
func (m *Machine) Document() Document { return m.document }

// Departure returns the departure of an instance.
func (m *Machine) Departure(instance string) (Departure, bool) {
	at, known := m.index[instance]
	if !known {
		return Departure{}, false
	}
	return m.departures[at], true
}

// Departures returns the instances that are leaving or gone.
func (m *Machine) Departures() map[string]bool {
	departures := make(map[string]bool, len(m.departures))
	for _, departure := range m.departures {
		departures[departure.Instance] = departure.Gone
	}
	return departures
}

// Registrations lists the registered runners by instance.
func (m *Machine) Registrations() []Registration {
	return slices.SortedFunc(maps.Values(m.registrations), func(a, b Registration) int {
		return strings.Compare(a.Instance, b.Instance)
	})
}

// Registered returns the registration of an instance.
func (m *Machine) Registered(instance string) (Registration, bool) {
	registration, known := m.registrations[instance]
	return registration, known
}

// IsRegistered reports whether a life of the runner with the ID is registered.
func (m *Machine) IsRegistered(id string) bool { return m.lives[id] != "" }

// Snapshot implements group.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&State{
		Document: m.document, Departures: m.departures, Registrations: m.Registrations(), StoreLimits: m.StoreLimits(),
		Reservations: m.reservations, Suspects: m.suspects, Drained: m.Drained(),
	})
	return data, errors.Wrap(err, "encode state of the domain")
}

// Restore implements group.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var state State
	if err := msgpack.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode state of the domain")
	}
	m.document = state.Document
	m.departures = state.Departures
	m.reservations = state.Reservations
	m.suspects = state.Suspects
	m.restoreDrained(state.Drained)
	m.reindex()
	clear(m.registrations)
	clear(m.addresses)
	clear(m.lives)
	for _, registration := range state.Registrations {
		m.add(registration)
	}
	clear(m.storeLimits)
	for _, limit := range state.StoreLimits {
		m.storeLimits[limit.Service] = limit
	}
	return nil
}

// Equal reports whether two machines hold the same state.
func (m *Machine) Equal(other *Machine) bool {
	return m.document.Version == other.document.Version &&
		slices.Equal(m.document.Source, other.document.Source) &&
		slices.Equal(m.departures, other.departures) && maps.Equal(m.index, other.index) &&
		maps.Equal(m.registrations, other.registrations) && maps.Equal(m.storeLimits, other.storeLimits) &&
		slices.Equal(m.suspects, other.suspects) && maps.Equal(m.drained, other.drained) &&
		slices.EqualFunc(m.reservations, other.reservations, func(a, b Reservation) bool {
			return a.Since == b.Since && a.Keep == b.Keep && slices.Equal(a.Parts, b.Parts)
		})
}
