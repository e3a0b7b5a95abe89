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

// ErrNotSent says that no byte of a request has been sent.
var ErrNotSent = errors.New("the request was not sent")

// Options configure a Router.
type Options struct {
	Logger log.Logger
	// Name names the process.
	Name string
	// Seeds are addresses of controllers, as they are known now.
	Seeds   func() []string
	Decoder func(source []byte) (*site.Document, error)
	Backend Backend
	// Zone is the zone of the process; empty for a site without zones.
	Zone structs.ZoneID
	// Regions names the region of each zone.
	Regions map[structs.ZoneID]string
	// Connects is what Backend dials runners with; nil if it does not, and then zones that are cut
	// off are not noticed.
	Connects *Connects
	Retry    RetryRule
	// Patience is how long callers of streams wait for the first event, or between
	// two events, before they leave.
	Patience Patience
	// ConfirmationLife is how long after a leader was asked, and has confirmed that the
	// document was the newest, the keys in it count as good; 0 means for good.
	ConfirmationLife time.Duration
	// Network is what controllers are dialled over; nil means TCP.
	Network network.Network
	// Metrics is where the router registers its metrics; nil for none.
	Metrics prometheus.Registerer
	// Seed makes the random choices.
	Seed uint64
	// Now is the clock that deadlines and whatever the leader grants are held against, which
	// counts suspensions of the machine; nil means clock.Now. Requests arrive by it.
	Now func() time.Time
}

// Patience is the longest of its parts.
type Patience struct {
	Floor time.Duration
	// Objectives and Pauses are multiples of the route's Objective and MaxPause.
	Objectives int
	Pauses     int
}

// of returns the patience of callers of a route.
func (p Patience) of(route *site.Route) time.Duration {
	return max(p.Floor, time.Duration(p.Objectives)*route.Objective, time.Duration(p.Pauses)*route.MaxPause)
}
