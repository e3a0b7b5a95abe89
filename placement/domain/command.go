package domain

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
)

// Document is a site document as its operator sent it.
type Document struct {
	Version uint64
	// Source is the text of the document, compressed by Compress.
	Source []byte
}

// Departure says that a runner is leaving, or has left.
type Departure struct {
	// Instance names one life of a runner.
	Instance string
	// Gone runners have said that they are no longer members of their service.
	Gone bool
}

// Registration is what seldom changes of a runner. It lets a new leader know the
// runners before their next heartbeats.
type Registration struct {
	Instance string
	Service  string
	Address  string
	Zone     string
	Slots    int
	// IsSlow is set if the runner was found to be slower than others.
	IsSlow bool
}

// StoreLimit is what a leader has learned of the weight store of a service.
type StoreLimit struct {
	Service string
	// AtOnce is how many loads at once the store serves at full speed; IsCrowded is set if
	// that was found by loads that were slow.
	AtOnce    int
	IsCrowded bool
}

// Reservation is what a leader may grant of tenants' limits in the moments after it.
type Reservation struct {
	// Since is how long before it was decided the one before it was, at least.
	Since time.Duration
	// Keep is how long reservations must be remembered.
	Keep  time.Duration
	Parts []quota.Part
}

// Command is a change of the state.
type Command struct {
	Put    *Document
	Depart *Departure
	// Registrations lists runners that are new or have changed.
	Registrations []Registration
	// Silent names instances that have been silent for long.
	Silent []string
	// StoreLimits lists what was learned anew of weight stores.
	StoreLimits []StoreLimit
	// Reserve is nil for nothing.
	Reserve *Reservation
	// Suspects lists what is new about requests that may crash runners.
	Suspects []poison.Record
	// Drain is an operator's order about a zone; nil for none.
	Drain *ZoneDrain
}

// Result is what Apply returns.
type Result struct {
	// Version is that of the document in force after the command.
	Version uint64
}

// State is the whole replicated state.
type State struct {
	Document      Document
	Departures    []Departure
	Registrations []Registration
	StoreLimits   []StoreLimit
	Reservations  []Reservation
	Suspects      []poison.Record
	// Drained lists the zones whose runners get no new requests.
	Drained []string
}

// Encode returns the command as bytes for a proposal.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	return data, errors.Wrap(err, "encode command of the domain")
}
