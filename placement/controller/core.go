package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the constants of a Core. Zero fields take their defaults.
type Options struct {
	Zone     structs.ZoneID
	Settings scheduler.Settings
	// LaggingAfter is how old a runner's report may be before nothing is loaded
	// or unloaded there.
	LaggingAfter time.Duration
	// VanishedAfter is how old it may be before the runner's replicas are replaced.
	VanishedAfter time.Duration
	// SilentAfter is how old it may be before routers no longer choose the runner.
	SilentAfter time.Duration
	// DemandAfter is how old a router's demand report may be before it is dropped.
	DemandAfter time.Duration
	// ResendAfter is when an order, release or wish without effect is sent again.
	ResendAfter time.Duration
	// WishAfter is when a wish that is granted is sent again; the global group must
	// keep a wish for longer than this.
	WishAfter time.Duration
	// UnloadDelay is how long an unloading replica waits at least before its
	// engine is told, so that routers know first.
	UnloadDelay time.Duration
	// ClaimLease is how long a claim may go without a renewal before it is resolved.
	ClaimLease time.Duration
	// InquiryLimit is how long after the choice of a runner its engine's word that
	// it does not know the request counts.
	InquiryLimit time.Duration
}

// The defaults of Options.
const (
	DefaultLaggingAfter  = 3 * time.Second
	DefaultVanishedAfter = 15 * time.Second
	DefaultSilentAfter   = 5 * time.Second
	DefaultDemandAfter   = 5 * time.Second
	DefaultResendAfter   = time.Second
	DefaultWishAfter     = time.Minute
	DefaultUnloadDelay   = time.Second
)

// ReportSeen is an engine's newest report.
type ReportSeen struct {
	Report structs.EngineReport
	// ReceivedAt is by this leader's clock. For a report that was asked for, it is
	// when it was asked for, so that the report is never taken for newer than it is.
	ReceivedAt time.Time
}

// Input is what a decision is made from.
type Input struct {
	Now   time.Time
	Epoch structs.Epoch
	// LeaseValid is true while this member's own clock says that nobody else can
	// lead. Nothing is decided without it.
	LeaseValid bool
	// State must have applied every entry of earlier epochs, and every command of
	// the previous Decisions that was committed.
	State   *zone.State
	Reports map[structs.RunnerID]ReportSeen
	// Relayed is when routers last read the reports of runners whose Reports are
	// unchanged but for their load. It tells that an engine lives, and nothing else: whatever frees memory, counts as the
	// outcome of an order or unloads a replica follows from Reports alone.
	Relayed map[structs.RunnerID]time.Time
	// Machines is the platform's machine list; runners that it lacks stay as they were.
	Machines []structs.Machine
	// Renewed says when the holder of each request's claim last renewed it with this
	// leader, by its clock. While it is nil, no claim is resolved.
	Renewed map[structs.RequestID]time.Time
	// StoreBudget is how many loads from the weight store may be under way at once.
	StoreBudget int
}

// Decisions are what the leader does next. The Commands go into the zone log, in
// order, and end before the next Decide; the Orders are sent at once, for they
// follow from what is already applied.
type Decisions struct {
	Commands []zone.Command
	// Orders has at most one for each runner.
	Orders   []structs.Order
	Releases []structs.GrantRelease
	Wishes   []structs.GrantWish
	// Inquiries are to be sent at once; answers come in through ObserveInquiry.
	Inquiries []Inquiry
	// Awaited names the runners whose next reports decide something.
	Awaited map[structs.RunnerID]bool
	// InForce is the table revision that the zone acts on.
	InForce uint64
}

// Core keeps what a leader remembers between decisions. All of it may be lost:
// a new leader begins with an empty Core. What it then lacks longest is the rows'
// daily rhythm: nothing is loaded ahead of need in an hour until that hour was
// watched once on an earlier day of the same kind, working day or weekend. A member
// that led before keeps its own, and leaves out the hours in which others led.
type Core struct {
	options  Options
	demand   demandTable
	epoch    structs.Epoch
	leadFrom time.Time
	accepted map[structs.RunnerID]acceptedFence
	sent     map[structs.RunnerID]sentOrder
	releases map[structs.RowName]sentRelease
	wishes   map[structs.RowName]sentWish
	// prefetches are those that may be reading the weight store.
	prefetches map[structs.RunnerID]openPrefetch
	// inquiries are about the held claims whose lease has run out.
	inquiries map[structs.ClaimKey]inquired
	records   records
	buffers   snapshotBuffers
}

type acceptedFence struct {
	incarnation structs.Incarnation
	fence       structs.Fence
}

type sentOrder struct {
	fence structs.Fence
	at    time.Time
}

type sentRelease struct {
	sequence uint64
	at       time.Time
}

type sentWish struct {
	wanted int
	at     time.Time
	// repeats counts how often the unchanged wish was sent again.
	repeats int
}

// New makes a Core.
func New(options Options) *Core {
	option.Default(&options.LaggingAfter, DefaultLaggingAfter)
	option.Default(&options.VanishedAfter, DefaultVanishedAfter)
	option.Default(&options.SilentAfter, DefaultSilentAfter)
	option.Default(&options.DemandAfter, DefaultDemandAfter)
	option.Default(&options.ResendAfter, DefaultResendAfter)
	option.Default(&options.WishAfter, DefaultWishAfter)
	option.Default(&options.UnloadDelay, DefaultUnloadDelay)
	option.Default(&options.ClaimLease, DefaultClaimLease)
	option.Default(&options.InquiryLimit, DefaultInquiryLimit)
	if options.Settings == (scheduler.Settings{}) {
		options.Settings = scheduler.DefaultSettings()
	}
	core := &Core{options: options, demand: newDemandTable()}
	core.forget()
	return core
}

// forget drops what belongs to one term of leading.
func (c *Core) forget() {
	c.accepted = map[structs.RunnerID]acceptedFence{}
	c.sent = map[structs.RunnerID]sentOrder{}
	c.releases = map[structs.RowName]sentRelease{}
	c.wishes = map[structs.RowName]sentWish{}
	c.prefetches = map[structs.RunnerID]openPrefetch{}
	c.inquiries = map[structs.ClaimKey]inquired{}
}

// ObserveDemand takes in a router's report.
func (c *Core) ObserveDemand(now time.Time, report structs.DemandReport) {
	c.demand.observe(now, report)
}

// ObserveReply takes in an engine's answer to an order, so that the next order
// for the runner need not wait for its next report.
func (c *Core) ObserveReply(runner structs.RunnerID, reply structs.OrderReply) {
	known := c.accepted[runner]
	if reply.Incarnation > known.incarnation ||
		(reply.Incarnation == known.incarnation && known.fence.Before(reply.Fence)) {
		c.accepted[runner] = acceptedFence{reply.Incarnation, reply.Fence}
	}
}

// Decide returns what to do next; without a valid lease, nothing.
func (c *Core) Decide(input Input) Decisions {
	if !input.LeaseValid {
		c.epoch = 0
		return Decisions{}
	}
	if c.epoch != input.Epoch {
		c.forget()
		c.epoch = input.Epoch
		c.leadFrom = input.Now
	}
	d := newDecider(c, input)
	d.decisions.InForce = input.State.TableRevision()
	d.registerRunners()
	d.followReplicas()
	d.followPrefetches()
	plan := scheduler.Plan(d.snapshot())
	d.applyPlan(plan)
	d.release()
	d.wish(plan.Wanted)
	d.expireClaims()
	d.resolveClaims()
	d.decisions.Awaited = d.awaited()
	return d.decisions
}
