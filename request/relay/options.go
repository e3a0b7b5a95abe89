package relay

import (
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// ErrNotSent means that no byte of a request was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrForeignAnswer means that a runner sent an answer to another request where that to this one was due. The request may have run.
var ErrForeignAnswer = errors.New("the answer belongs to another request")

// ErrMalformedAnswer means that a runner sent bytes that are no answer where one was due, and kept the connection. The request may have
// run.
var ErrMalformedAnswer = errors.New("the runner sent no valid answer")

// ErrAnswerTooLong means that the head, the body or an event of a runner's answer exceeds its bound. The request may have run.
var ErrAnswerTooLong = errors.New("the answer is too long")

// notSentError is an ErrNotSent with its cause.
type notSentError struct{ cause error }

// NotSent returns an error that is ErrNotSent and wraps the cause.
func NotSent(cause error) error { return &notSentError{cause} }

// Error implements error.
func (e *notSentError) Error() string { return e.cause.Error() + ": " + ErrNotSent.Error() }

// Unwrap returns ErrNotSent and the cause.
func (e *notSentError) Unwrap() []error { return []error{ErrNotSent, e.cause} }

// Options configures a Router.
type Options struct {
	Logger log.Logger
	// Name identifies the process.
	Name string
	// Seeds returns the currently known addresses of controllers.
	Seeds   func() []string
	Decoder func(source []byte) (*site.Document, error)
	Backend Backend
	// Zone is the zone of the process; empty for a site without zones.
	Zone structs.ZoneID
	// Regions maps zones to regions.
	Regions map[structs.ZoneID]string
	// Dialer is the dialer of Backend. If it is nil, unreachable zones are not detected, and no peers are used.
	Dialer *RunnerDialer
	// TunnelAddress is where peers reach runners through this router; empty if it accepts no tunnels.
	TunnelAddress string
	// CloseIdle closes the idle connections to runners through a peer with the given address; nil for none.
	CloseIdle func(peer string)
	Retry     RetryRule
	// MaxWait is how long callers of streams are expected to wait for the first event and between
	// events.
	MaxWait MaxWait
	// ConfirmationTTL is how long API keys are valid after the request with which a leader
	// confirmed that the document is the newest; 0 means indefinitely.
	ConfirmationTTL time.Duration
	// Network is used to dial controllers; nil means TCP.
	Network network.Network
	// Metrics is where the router registers its metrics; nil for none.
	Metrics prometheus.Registerer
	// Seed seeds the random number generator.
	Seed uint64
	// Now is the clock for deadlines and leases. It must advance while the machine is suspended.
	// Nil means clock.Now. Request.Arrived must come from the same clock.
	Now func() time.Time
}

// MaxWait is the maximum wait for an event: the largest of its terms.
type MaxWait struct {
	Floor time.Duration
	// Objectives and Pauses are multiples of the route's Objective and MaxPause.
	Objectives int
	Pauses     int
}

// of returns the maximum wait of callers on a route.
func (p MaxWait) of(route *site.Route) time.Duration {
	return max(p.Floor, time.Duration(p.Objectives)*route.Objective, time.Duration(p.Pauses)*route.MaxPause)
}
