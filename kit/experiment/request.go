package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
)

// outcome is how a request ended.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeRefused
)

// request is an arrival on its way.
type request struct {
	workload.Arrival
	arrivedAt  time.Time
	deadlineAt time.Time
	// cold is set when no replica was ready as it arrived.
	cold    bool
	zone    *zoneWorld
	engine  *engine
	firstAt time.Time
	outcome outcome
}
