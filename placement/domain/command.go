package domain

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// Document is a site document as submitted by an operator.
type Document struct {
	Version uint64
	// Source is the document text, compressed by Compress.
	Source []byte
}

// Departure records that a runner is leaving or has left its service.
type Departure struct {
	// Instance identifies one incarnation of a runner.
	Instance string
	// Gone is set once the runner has left its service; until then it is leaving.
	Gone bool
}

// Registration holds the rarely changing properties of a runner, so that a new
// leader knows the runners before their next heartbeats.
type Registration struct {
	Instance string
	Service  string
	Address  string
	Zone     string
	Slots    int
	// IsSlow is set if the runner is slower than its peers.
	IsSlow bool
	// Version is that of the runner's software; empty if unknown.
	Version string `msgpack:",omitempty"`
}

// StoreLimit is the load concurrency learned for the weight store of a service.
type StoreLimit struct {
	Service string
	// AtOnce is the number of concurrent loads that the store serves at full speed.
	// IsCrowded is set if it was lowered because loads were slow.
	AtOnce    int
	IsCrowded bool
}

// Reservation is the part of tenants' limits that a leader may grant until its next reservation.
type Reservation struct {
	// Since is a lower bound of the time since the previous reservation.
	Since time.Duration
	// Keep is how long reservations are retained.
	Keep  time.Duration
	Parts []quota.Part
}

// Command is one entry of the replicated log.
type Command struct {
	Put    *Document
	Depart *Departure
	// Registrations lists new or changed runners.
	Registrations []Registration
	// Silent lists instances to unregister because their heartbeats stopped.
	Silent []string
	// StoreLimits lists new or changed limits.
	StoreLimits []StoreLimit
	Reserve     *Reservation
	// Suspects lists updates on requests that may crash runners.
	Suspects []poison.Record
	// Retired lists software versions to forget, as no runner has had them for long.
	Retired []versions.Key `msgpack:",omitempty"`
	// Drain starts or ends the drain of a zone.
	Drain *ZoneDrain
}

// Result is the result of Machine.Apply.
type Result struct {
	// Version is the version of the current document after the command.
	Version uint64
}

// State is the snapshot of a Machine.
type State struct {
	Document      Document
	Departures    []Departure
	Registrations []Registration
	StoreLimits   []StoreLimit
	Reservations  []Reservation
	Suspects      []poison.Record
	// Drained lists the zones whose runners get no new requests.
	Drained []string
	// Versions are the software versions that runners of each service had lately.
	Versions []versions.Key `msgpack:",omitempty"`
}

// Encode returns the msgpack encoding of the command.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	return data, errors.Wrap(err, "encode domain command")
}
