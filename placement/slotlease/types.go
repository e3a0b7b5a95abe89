package slotlease

import "time"

const (
	// TTL is how long after it asked a router may begin requests in slots that it was granted: several round trips, but
	// short enough that a lost router withholds little.
	TTL = 400 * time.Millisecond
	// ReportInterval is how often a router tells what it uses.
	ReportInterval = 400 * time.Millisecond
	// FirstReportDelay is how long after a claim a router tells that it uses more or fewer slots than it told: soon enough
	// for several tries before the permission ends.
	FirstReportDelay = TTL / 4
	// UseTTL is how long the leader counts what a router told to use: several reports.
	UseTTL = 2 * time.Second
	// GracePeriod is how long a new leader lends nothing beyond what routers use.
	GracePeriod = TTL + 300*time.Millisecond
)

// Claim is a router's claim to slots of one runner. It replaces the router's former claim.
type Claim struct {
	Instance string
	// Used is the number of the router's requests at the runner.
	Used int
	// Wanted is the number of slots that the router needs, including those in use.
	Wanted int
	// Rejected is set if the runner has rejected a request of the router for want of room since the last claim.
	Rejected bool
}

// Grant is the answer to a Claim.
type Grant struct {
	Instance string
	// Slots is the number of requests that the router may have at the runner when it begins another one.
	Slots int
	// MoreIn is the time until the router should ask for the rest of its claim; 0 if it has all.
	MoreIn time.Duration
	// IsScarce is set if slots that the router does not use are needed by others, so that it should give them back at once.
	IsScarce bool
	// IsPending is set by a new leader that does not lend yet. What the router was granted before then stays valid.
	IsPending bool
}
