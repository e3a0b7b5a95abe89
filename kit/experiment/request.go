package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
)

// outcome is the result of a request.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeRefused
)

// request is an arrival in progress.
type request struct {
	workload.Arrival
	arrivedAt  time.Time
	deadlineAt time.Time
	// cold is set if no replica was ready when the request arrived or was requeued.
	cold         bool
	zone         *simulatedZone
	engine       *engine
	firstTokenAt time.Time
	outcome      outcome
}
