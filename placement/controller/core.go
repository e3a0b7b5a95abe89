package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Options are the parameters of a Core. Zero fields take their defaults.
type Options struct {
	Zone     structs.ZoneID
	Settings scheduler.Settings
	// LaggingAfter is the age of a runner's report beyond which nothing is loaded or
	// unloaded there.
	LaggingAfter time.Duration
	// VanishedAfter is the age beyond which the runner's replicas are replaced.
	VanishedAfter time.Duration
	// SilentAfter is the age beyond which routers no longer choose the runner.
	SilentAfter time.Duration
	// DemandAfter is the age beyond which a router's demand report is dropped.
	DemandAfter time.Duration
	// ResendAfter is the interval between repetitions of an order, release or wish without
	// effect.
	ResendAfter time.Duration
	// WishAfter is the interval between repetitions of a granted wish. The global group must
	// keep wishes for longer than this.
	WishAfter time.Duration
	// UnloadDelay is the minimum time between the decision to unload a replica and the order
	// to its engine, in which routers learn of the decision.
	UnloadDelay time.Duration
	// ClaimLease is how long a claim may go without a renewal before it is resolved.
	ClaimLease time.Duration
	// InquiryLimit is how long after the choice of a runner its engine's statement that it
	// does not know the request is trusted.
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

// ReportSeen is the newest report of an engine.
type ReportSeen struct {
	Report structs.EngineReport
	// ReceivedAt is by this leader's clock. For a polled report it is the time of the
	// request, a lower bound of the report's time.
	ReceivedAt time.Time
}

// Input is the input of Decide.
type Input struct {
	Now   time.Time
	Epoch structs.Epoch
	// LeaseValid is true while, by this member's own clock, no other member can be the
	// leader. Without it nothing is decided.
	LeaseValid bool
	// State must have applied every entry of earlier epochs, and every committed command
	// of the previous Decisions.
	State   *zone.State
	Reports map[structs.RunnerID]ReportSeen
	// Relayed is when routers last read the reports of runners whose Reports are unchanged
	// except for their load. It shows only that an engine is alive: whatever frees memory,
	// unloads a replica or counts as the outcome of an order follows from Reports alone.
	Relayed map[structs.RunnerID]time.Time
	// Machines is the platform's machine list; runners missing from it keep their state.
	Machines []structs.Machine
	// Renewed is when the claim of each request was last renewed with this leader, by its
	// clock. If it is nil, no claim is resolved.
	Renewed map[structs.RequestID]time.Time
	// StoreBudget is how many loads from the weight store may run at once.
	StoreBudget int
}

// Decisions are the leader's next actions. The Commands are proposed to the zone log in
// order, and complete before the next Decide. The Orders are sent at once, since they
// follow from what is already applied.
type Decisions struct {
	Commands []zone.Command
	// Orders has at most one order for each runner.
	Orders   []structs.Order
	Releases []structs.GrantRelease
	Wishes   []structs.GrantWish
	// Inquiries are to be sent at once; their replies go to ObserveInquiry.
	Inquiries []Inquiry
	// Awaited names the runners whose next reports decide something.
	Awaited map[structs.RunnerID]bool
	// InForce is the revision of the table that the zone applies.
	InForce uint64
}

// Core is a leader's memory between decisions. All of it may be lost: a new leader begins
// with an empty Core. The daily usage history takes longest to recover: rows are prewarmed
// only for hours that were observed on an earlier day of the same kind, working day or
// weekend. A member that led before keeps its own history, without the hours in which
// others led.
type Core struct {
	options     Options
	demand      demandTable
	epoch       structs.Epoch
	leaderSince time.Time
	accepted    map[structs.RunnerID]acceptedFence
	sent        map[structs.RunnerID]sentOrder
	releases    map[structs.RowName]sentRelease
	wishes      map[structs.RowName]sentWish
	// prefetches are those that may still be reading the weight store.
	prefetches map[structs.RunnerID]openPrefetch
	// inquiries are about held claims whose lease has expired.
	inquiries map[structs.ClaimKey]pendingInquiry
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
	// repeats counts the repetitions of the unchanged wish.
	repeats int
}

// New returns an empty Core.
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
	core.resetTerm()
	return core
}

// resetTerm drops the state that is valid for one leader term only.
func (c *Core) resetTerm() {
	c.accepted = map[structs.RunnerID]acceptedFence{}
	c.sent = map[structs.RunnerID]sentOrder{}
	c.releases = map[structs.RowName]sentRelease{}
	c.wishes = map[structs.RowName]sentWish{}
	c.prefetches = map[structs.RunnerID]openPrefetch{}
	c.inquiries = map[structs.ClaimKey]pendingInquiry{}
}

// ObserveDemand records a router's demand report.
func (c *Core) ObserveDemand(now time.Time, report structs.DemandReport) {
	c.demand.observe(now, report)
}

// ObserveReply records an engine's reply to an order, so that the runner's next order
// need not wait for its next report.
func (c *Core) ObserveReply(runner structs.RunnerID, reply structs.OrderReply) {
	known := c.accepted[runner]
	if reply.Incarnation > known.incarnation ||
		(reply.Incarnation == known.incarnation && known.fence.Before(reply.Fence)) {
		c.accepted[runner] = acceptedFence{reply.Incarnation, reply.Fence}
	}
}

// Decide returns the next decisions; without a valid lease, none.
func (c *Core) Decide(input Input) Decisions {
	if !input.LeaseValid {
		c.epoch = 0
		return Decisions{}
	}
	if c.epoch != input.Epoch {
		c.resetTerm()
		c.epoch = input.Epoch
		c.leaderSince = input.Now
	}
	d := newDecider(c, input)
	d.decisions.InForce = input.State.TableRevision()
	d.registerRunners()
	d.reconcileReplicas()
	d.trackPrefetches()
	plan := scheduler.Plan(d.snapshot())
	d.applyPlan(plan)
	d.releaseGrants()
	d.updateWishes(plan.Wanted)
	d.expireClaims()
	d.resolveClaims()
	d.decisions.Awaited = d.awaited()
	return d.decisions
}
