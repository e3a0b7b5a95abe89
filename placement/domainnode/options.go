package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
)

// Decoder reads the text of a document. It returns an error for a text that cannot be
// read in full; whether the document is valid is not its concern.
type Decoder func(source []byte) (*site.Document, error)

// Holder is who sends an order.
type Holder struct {
	Name string
	// Token rises with each change of the holder.
	Token uint64
}

// Engines sends orders and questions to runners.
type Engines interface {
	// Order sends an order and returns how it was answered, and what the answer tells of the runner.
	Order(ctx context.Context, holder Holder, order residency.Order) (residency.Outcome, notice.Notice)
	// Report asks a runner what it holds. What the answer tells of the runner holds also with an error.
	Report(ctx context.Context, runner fleet.Heartbeat) (residency.Report, notice.Notice, error)
}

// Options configure a Node.
type Options struct {
	Logger log.Logger
	// Name names the process; it outlives a lost disk.
	Name string
	// Address is what the node listens on for other processes of the domain.
	Address string
	// Seeds are addresses of controllers, as they are known now.
	Seeds func() []string
	// Zones are those of the site, of which an operator may drain some.
	Zones []string
	// LinkBytes is how many bytes a second the machine's link carries; 0 if that is not known.
	LinkBytes float64
	// Heartbeat is the pause between two heartbeats of a runner; 0 means fleet.DefaultHeartbeat.
	Heartbeat time.Duration
	// Bootstrap allows the seeds to found the group. It may be set only at the first
	// start of the whole domain.
	Bootstrap bool
	// DataFolder holds the member's store.
	DataFolder string
	// Voters is how many members should vote.
	Voters int
	// OrderLease is the least time between the orders of two holders.
	OrderLease time.Duration
	// FencesEnforced says that runners refuse orders with an older token than one they
	// have seen. Then a new leader need not wait for a former one that it cannot reach:
	// orders that still come from there are refused.
	FencesEnforced bool
	Decoder        Decoder
	Engines        Engines
	Planner        residency.Options
	// Limits is by how much tenants may exceed their limits.
	Limits quota.Bound
	// Metrics is where the node registers its metrics; nil for none.
	Metrics prometheus.Registerer
	// Network is what is listened on and dialled over; nil means TCP.
	Network network.Network
	// Timing; zero values mean the defaults.
	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// Seed makes the random election time-outs.
	Seed uint64
	// Now is the clock that leases are held against, which counts suspensions of the machine;
	// nil means clock.Now.
	Now func() time.Time
}

const (
	defaultTickInterval   = 30 * time.Millisecond
	defaultElectionTicks  = 12
	defaultHeartbeatTicks = 2
	defaultVoters         = 3
	// snapshotEntries bounds the log: each entry may hold a whole document.
	snapshotEntries = 256
	callTimeout     = 1200 * time.Millisecond
	dialTimeout     = 800 * time.Millisecond
	// tryTimeout bounds one call to a controller that may be the leader.
	tryTimeout = 400 * time.Millisecond
	// reopenPause separates two attempts to open a store that failed.
	reopenPause = 200 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = clock.Now
	}
	option.Positive(&o.Heartbeat, fleet.DefaultHeartbeat)
	option.Positive(&o.TickInterval, defaultTickInterval)
	option.Positive(&o.ElectionTicks, defaultElectionTicks)
	option.Positive(&o.HeartbeatTicks, defaultHeartbeatTicks)
	option.Positive(&o.Voters, defaultVoters)
	return o
}

func (o Options) timing() fleet.Timing { return fleet.Timing{Heartbeat: o.Heartbeat} }

// documentOf decodes the text of a replicated document.
func (o Options) documentOf(document domain.Document) (*site.Document, error) {
	source, err := domain.Expand(document.Source)
	if err != nil {
		return nil, err
	}
	return o.Decoder(source)
}
