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

// Decoder parses the text of a document. It does not validate the document.
type Decoder func(source []byte) (*site.Document, error)

// Holder identifies the leadership that sends an order.
type Holder struct {
	Name string
	// Token is the fencing token; it increases with each change of the holder.
	Token uint64
}

// Engines sends orders and report requests to runners.
type Engines interface {
	// Order sends an order and returns its outcome and the notice in the runner's response. It
	// must call mayBegin right before the first byte, and send nothing if that returns false; the
	// outcome is then residency.OutcomeNotSent. Once it has returned without an answer, or ctx has
	// ended, no byte of the order may leave the machine any more.
	Order(ctx context.Context, holder Holder, order residency.Order, mayBegin func() bool) (residency.Outcome, notice.Notice)
	// Report asks a runner for its loaded models. The notice is valid even if the error is not nil.
	Report(ctx context.Context, runner fleet.Heartbeat) (residency.Report, notice.Notice, error)
}

// Options configure a Node.
type Options struct {
	Logger log.Logger
	// Name identifies the process; it survives the loss of the disk.
	Name string
	// Address is the listen address for other processes of the domain.
	Address string
	// Seeds returns the currently known addresses of controllers.
	Seeds func() []string
	// Zones are the zones of the site, which operators may drain.
	Zones []string
	// Zone is the zone of the process; empty for a site without zones.
	Zone string
	// Regions maps zones to regions. While it does not lead, the node is a relay if there are several
	// regions or many routers.
	Regions map[string]string
	// LinkBytes is the bandwidth of the machine's network link in bytes per second; 0 if unknown.
	LinkBytes float64
	// Heartbeat is the interval of runners' heartbeats; 0 means fleet.DefaultHeartbeat.
	Heartbeat time.Duration
	// Bootstrap allows the seeds to create the group. It must be set only at the first start of
	// the whole domain.
	Bootstrap bool
	// DataFolder is the folder of the member's store.
	DataFolder string
	// Voters is the target number of voters.
	Voters int
	// OrderLease is the minimum time between the orders of two holders.
	OrderLease time.Duration
	// FencesEnforced states that runners reject orders with a fencing token older than the
	// latest seen. Then a new leader need not wait out the lease of an unreachable former one.
	FencesEnforced bool
	Decoder        Decoder
	Engines        Engines
	Planner        residency.Options
	// Limits bounds by how much tenants may exceed their limits.
	Limits quota.Bound
	// Metrics is the registry of the node's metrics; nil for none.
	Metrics prometheus.Registerer
	// Network is used to listen and dial; nil means TCP.
	Network network.Network
	// Timing of the raft group; zero values mean the defaults.
	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// Seed seeds the random election timeouts.
	Seed uint64
	// Now is the clock for leases, which must advance while the machine is suspended; nil means
	// clock.Now.
	Now func() time.Time
}

const (
	defaultTickInterval   = 30 * time.Millisecond
	defaultElectionTicks  = 12
	defaultHeartbeatTicks = 2
	defaultVoters         = 3
	// snapshotEntries is the number of log entries between snapshots. It is small because an
	// entry may hold a whole document.
	snapshotEntries = 256
	callTimeout     = 1200 * time.Millisecond
	dialTimeout     = 800 * time.Millisecond
	// tryTimeout bounds one attempt to call a controller that may be the leader.
	tryTimeout = 400 * time.Millisecond
	// reopenPause separates two attempts to open a failed store.
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

// hasSeveralRegions reports whether the zones of the site are in several regions.
func (o Options) hasSeveralRegions() bool {
	first := ""
	for _, region := range o.Regions {
		if first != "" && region != "" && region != first {
			return true
		}
		first = max(first, region)
	}
	return false
}

func (o Options) timing() fleet.Timing { return fleet.Timing{Heartbeat: o.Heartbeat} }

// documentOf decodes a replicated document.
func (o Options) documentOf(document domain.Document) (*site.Document, error) {
	source, err := domain.Expand(document.Source)
	if err != nil {
		return nil, err
	}
	return o.Decoder(source)
}
