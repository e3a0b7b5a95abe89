package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

// historyLength is the number of in-flight changes remembered per runner.
const historyLength = 64

// runner is one incarnation of a runner as seen by this router.
type runner struct {
	info structs.RunnerInfo
	// number identifies this incarnation and its cache in hints.
	number uint32
	// hash ranks the runner in subsets; it depends on daemon and runner.
	hash    uint64
	leaving bool
	// paced runners get one request per token lent by the leader.
	paced  bool
	tokens int
	// limited runners are paced because of a rate limit.
	limited bool
	// lease bounds the attempts if the slots of the runner are lent. runTime is the mean time of successful attempts.
	lease   slotLease
	runTime time.Duration
	// requested is the cooldown that the runner requested from this router.
	requested requestedCooldown
	// failing runners are chosen only if no other one is usable.
	failing bool
	// inFlight counts this router's attempts; others is the load of all other
	// routers as of reportedAt.
	inFlight   int
	others     int
	reportedAt time.Time
	maxBatch   int
	// copies counts the copies of streams that this router has at the runner. They take memory there,
	// but no slot, so they count only for the choice of a standby. copiesOf counts them by the runner of
	// their streams; nil if there was none.
	copies   int
	copiesOf map[structs.RunnerID]int
	// prefillShare is the share of its time that the runner spent on prompts, as of reportedAt.
	prefillShare float64
	// pace is the measured pace of the runner, with defaults where unknown.
	pace pace.Runner
	// pendingTokens is the number of tokens sent by this router and not processed as of pendingTokensAt.
	pendingTokens   float64
	pendingTokensAt time.Time
	// recent is the decaying count of attempts sent by this router, as of recentAt; see
	// recentWindow.
	recent   float64
	recentAt time.Time
	// answeredAt is when an attempt last succeeded.
	answeredAt time.Time
	breaker    breaker
	// history is nil until the first attempt: with many routers, most runners never get one from this router.
	history *history
	// sequence is the highest sequence number of cache events seen.
	sequence uint64
	// rows lists the names of the placed replicas, sorted.
	rows     []structs.RowName
	replicas map[structs.RowName]*replica
}

// replica is a ready copy of a row on a runner.
type replica struct {
	row      *row
	runner   *runner
	breaker  breaker
	cooldown cooldown
	rate     failureRate
	// placed is false once the placement no longer lists the replica.
	placed       bool
	ejectedUntil time.Time
}

// row holds the replicas of a row; subset holds those that this daemon uses.
type row struct {
	name structs.RowName
	// ready counts the replicas on runners that are not leaving.
	ready int
	// replicas includes those on leaving runners.
	replicas []*replica
	subset   []*replica
}

// load returns the number of requests on the runner as known to this router.
func (r *runner) load(now time.Time, ttl time.Duration) int {
	if r.others > 0 && now.Sub(r.reportedAt) < ttl {
		return r.inFlight + r.others
	}
	return r.inFlight
}

// hasCapacity reports whether the runner may get one more attempt of one of the given number of routers. A router
// with less than its equal share of a full runner, and at least one without any attempt, may send one, so that
// other routers cannot starve it and routers do not all wait for the same load report; the engine queues the
// excess.
func (r *runner) hasCapacity(now time.Time, options *Options, routers int) bool {
	if r.lease.isRequired {
		return r.inFlight < r.lease.slots
	}
	limit := r.maxBatch + options.QueueSlack
	load := r.load(now, options.ReportTTL)
	if load < limit {
		return true
	}
	share := 1
	if routers > 0 {
		share = max(1, limit/routers)
	}
	return r.inFlight < share && load < 2*limit
}

// observe records a load report. This router's own attempts at the time of the report
// are subtracted, which leaves the load of other routers.
func (r *runner) observe(report structs.LoadReport) {
	if report.ObservedAt.Before(r.reportedAt) {
		return
	}
	r.reportedAt = report.ObservedAt
	if report.MaxBatch > 0 {
		r.maxBatch = report.MaxBatch
	}
	own := 0
	if r.history != nil {
		own = r.history.at(report.ObservedAt)
	}
	r.others = max(0, report.Running+report.Queued-own)
}

// change adds the difference to the attempts in flight.
func (r *runner) change(now time.Time, difference int) {
	r.inFlight += difference
	if r.history == nil {
		r.history = &history{}
	}
	r.history.add(now, r.inFlight)
}

// history is a ring buffer of the latest changes of this router's attempts in flight.
type history struct {
	// origin is the time of the first change. Offsets from it use the monotonic clock,
	// as the wall clock may jump.
	origin time.Time
	// changedAt holds times since origin, load the attempts in flight from then on.
	changedAt [historyLength]time.Duration
	load      [historyLength]int32
	// count is the total number of changes.
	count int
}

func (h *history) add(now time.Time, load int) {
	slot := h.count % historyLength
	if h.origin.IsZero() {
		h.origin = now
	}
	h.changedAt[slot] = now.Sub(h.origin)
	h.load[slot] = int32(load)
	h.count++
}

// at returns the load at the given time, or the oldest known one if the time is before
// the ring's range.
func (h *history) at(when time.Time) int {
	passed := when.Sub(h.origin)
	kept := min(h.count, historyLength)
	for back := 1; back <= kept; back++ {
		slot := (h.count - back) % historyLength
		if h.changedAt[slot] <= passed {
			return int(h.load[slot])
		}
	}
	if h.count > historyLength {
		return int(h.load[h.count%historyLength])
	}
	return 0
}
