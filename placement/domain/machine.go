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
	"github.com/lotusferry/lotusferry/placement/versions"
)

// maxDepartures bounds the departures retained; the oldest are evicted first.
// Instances are never reused, so only recent departures matter.
const maxDepartures = 2048

// maxStoreLimits bounds the services with a store limit.
const maxStoreLimits = 64

// maxReservations bounds the reservations retained. Beyond it the oldest two are merged,
// with the age of the later one.
const maxReservations = 1024

// Machine is the replicated state machine of a domain. It is not safe for concurrent
// use; group.Group serializes the calls.
type Machine struct {
	document Document
	// departures is in log order; departureIndex maps an instance to its position.
	departures     []Departure
	departureIndex map[string]int
	// registrations is keyed by instance.
	registrations map[string]Registration
	// instanceByAddress maps an address to the instance registered there.
	instanceByAddress map[string]string
	// instanceByID maps a runner ID to its registered instance.
	instanceByID map[string]string
	// storeLimits is keyed by service.
	storeLimits map[string]StoreLimit
	// reservations is in log order.
	reservations []Reservation
	// suspects is in the order of the last updates.
	suspects []poison.Record
	// drained is the set of drained zones.
	drained map[string]struct{}
	// versions are sorted.
	versions []versions.Key
}

var _ group.StateMachine = (*Machine)(nil)

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	return &Machine{
		departureIndex:    make(map[string]int),
		registrations:     make(map[string]Registration),
		instanceByAddress: make(map[string]string),
		instanceByID:      make(map[string]string),
		storeLimits:       make(map[string]StoreLimit),
		drained:           make(map[string]struct{}),
	}
}

// Apply implements group.StateMachine. It returns a Result, or an error if the command
// cannot be decoded.
func (m *Machine) Apply(_, _ uint64, command []byte) any {
	var decoded Command
	if err := msgpack.Unmarshal(command, &decoded); err != nil {
		return errors.Wrap(err, "decode domain command")
	}
	switch {
	case decoded.Put != nil:
		m.put(*decoded.Put)
	case decoded.Depart != nil:
		m.recordDeparture(*decoded.Depart)
	case decoded.Drain != nil:
		m.setDrain(*decoded.Drain)
	}
	for _, registration := range decoded.Registrations {
		m.register(registration)
	}
	for _, instance := range decoded.Silent {
		m.unregister(instance)
	}
	for _, limit := range decoded.StoreLimits {
		m.setStoreLimit(limit)
	}
	if decoded.Reserve != nil {
		m.reserve(*decoded.Reserve)
	}
	for _, record := range decoded.Suspects {
		m.updateSuspect(record)
	}
	for _, retired := range decoded.Retired {
		m.retireVersion(retired)
	}
	return Result{Version: m.document.Version}
}

// put replaces the document if the version is higher. Different content under the same
// version must not replace an acknowledged document.
func (m *Machine) put(document Document) {
	if document.Version <= m.document.Version {
		return
	}
	m.document = document
}

// register adds or updates a runner and unregisters any other instance with the same
// address or ID. Departed and older incarnations are ignored.
func (m *Machine) register(registration Registration) {
	if departure, known := m.Departure(registration.Instance); known && departure.Gone {
		return
	}
	id, startedAt := fleet.SplitIncarnation(registration.Instance)
	if _, registeredStartedAt := fleet.SplitIncarnation(m.instanceByID[id]); registeredStartedAt > startedAt {
		return
	}
	m.unregister(m.instanceByAddress[registration.Address])
	m.unregister(m.instanceByID[id])
	m.add(registration)
	m.addVersion(versions.Key{Service: registration.Service, Version: registration.Version})
}

func (m *Machine) add(registration Registration) {
	m.registrations[registration.Instance] = registration
	m.instanceByAddress[registration.Address] = registration.Instance
	m.instanceByID[fleet.IDOf(registration.Instance)] = registration.Instance
}

func (m *Machine) unregister(instance string) {
	known, isKnown := m.registrations[instance]
	if !isKnown {
		return
	}
	delete(m.registrations, instance)
	delete(m.instanceByAddress, known.Address)
	delete(m.instanceByID, fleet.IDOf(instance))
}

// setStoreLimit records a store limit. Limits of further services beyond maxStoreLimits are dropped.
func (m *Machine) setStoreLimit(limit StoreLimit) {
	if _, isKnown := m.storeLimits[limit.Service]; isKnown || len(m.storeLimits) < maxStoreLimits {
		m.storeLimits[limit.Service] = limit
	}
}

// reserve appends a reservation and drops those older than its Keep.
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

// maxSuspects bounds the suspects retained; the least recently updated are evicted first.
const maxSuspects = 1024

// updateSuspect updates or clears the record of a request that may crash runners.
func (m *Machine) updateSuspect(record poison.Record) {
	m.suspects = slices.DeleteFunc(m.suspects, func(known poison.Record) bool { return known.Digest == record.Digest })
	if record.IsCleared {
		return
	}
	m.suspects = append(m.suspects, record)
	if len(m.suspects) > maxSuspects {
		m.suspects = slices.Delete(m.suspects, 0, 1)
	}
}

// Suspects returns the requests that may crash runners, the least recently updated first.
func (m *Machine) Suspects() []poison.Record { return slices.Clone(m.suspects) }

// Reservations returns the retained reservations, each with a lower bound of its age, for
// a new leader.
func (m *Machine) Reservations() []quota.Reservation {
	listed := make([]quota.Reservation, len(m.reservations))
	age := time.Duration(0)
	for i := len(m.reservations) - 1; i >= 0; i-- {
		listed[i] = quota.Reservation{Age: age, Parts: m.reservations[i].Parts}
		age += m.reservations[i].Since
	}
	return listed
}

// StoreLimit returns the store limit of a service.
func (m *Machine) StoreLimit(service string) (StoreLimit, bool) {
	limit, isKnown := m.storeLimits[service]
	return limit, isKnown
}

// StoreLimits returns the store limits, sorted by service.
func (m *Machine) StoreLimits() []StoreLimit {
	return slices.SortedFunc(maps.Values(m.storeLimits), func(a, b StoreLimit) int {
		return strings.Compare(a.Service, b.Service)
	})
}

// recordDeparture records a departure. It is final: a leaving instance never becomes ready again,
// and a gone one never becomes leaving.
func (m *Machine) recordDeparture(departure Departure) {
	if departure.Gone {
		m.unregister(departure.Instance)
	}
	if at, known := m.departureIndex[departure.Instance]; known {
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
	clear(m.departureIndex)
	for at, departure := range m.departures {
		m.departureIndex[departure.Instance] = at
	}
}

// Document returns the current document; its version is 0 if there is none.
func (m *Machine) Document() Document { return m.document }

// Departure returns the departure of an instance, if there is one.
func (m *Machine) Departure(instance string) (Departure, bool) {
	at, known := m.departureIndex[instance]
	if !known {
		return Departure{}, false
	}
	return m.departures[at], true
}

// Departures maps each departed instance to whether it is gone rather than leaving.
func (m *Machine) Departures() map[string]bool {
	departures := make(map[string]bool, len(m.departures))
	for _, departure := range m.departures {
		departures[departure.Instance] = departure.Gone
	}
	return departures
}

// Registrations returns the registered runners, sorted by instance.
func (m *Machine) Registrations() []Registration {
	return slices.SortedFunc(maps.Values(m.registrations), func(a, b Registration) int {
		return strings.Compare(a.Instance, b.Instance)
	})
}

// Registered returns the registration of an instance, if there is one.
func (m *Machine) Registered(instance string) (Registration, bool) {
	registration, known := m.registrations[instance]
	return registration, known
}

// IsRegistered reports whether an instance of the runner with the ID is registered.
func (m *Machine) IsRegistered(id string) bool { return m.instanceByID[id] != "" }

// Snapshot implements group.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&State{
		Document: m.document, Departures: m.departures, Registrations: m.Registrations(), StoreLimits: m.StoreLimits(),
		Reservations: m.reservations, Suspects: m.suspects, Drained: m.Drained(),
		Versions: m.versions,
	})
	return data, errors.Wrap(err, "encode domain state")
}

// Restore implements group.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var state State
	if err := msgpack.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode domain state")
	}
	m.document = state.Document
	m.departures = state.Departures
	m.reservations = state.Reservations
	m.suspects = state.Suspects
	m.versions = state.Versions
	m.restoreDrained(state.Drained)
	m.reindex()
	clear(m.registrations)
	clear(m.instanceByAddress)
	clear(m.instanceByID)
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
		slices.Equal(m.departures, other.departures) && maps.Equal(m.departureIndex, other.departureIndex) &&
		maps.Equal(m.registrations, other.registrations) && maps.Equal(m.storeLimits, other.storeLimits) &&
		slices.Equal(m.suspects, other.suspects) && slices.Equal(m.versions, other.versions) && maps.Equal(m.drained, other.drained) &&
		slices.EqualFunc(m.reservations, other.reservations, func(a, b Reservation) bool {
			return a.Since == b.Since && a.Keep == b.Keep && slices.Equal(a.Parts, b.Parts)
		})
}
