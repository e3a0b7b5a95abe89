package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

// historyLength is how many changes of the own load a runner remembers.
const historyLength = 64

// runner is one life of a runner as this router sees it.
type runner struct {
	info structs.RunnerInfo
	// number names this life of the runner, with its cache, in hints.
	number uint32
	// hash is that of daemon and runner, which ranks the runner in subsets.
	hash    uint64
	leaving bool
	// paced runners get a request for each token that the leader lent.
	paced  bool
	tokens int
	// limited runners are paced as they name a rate limit.
	limited bool
	// asked is the rest that the runner asked this router for.
	asked askedRest
	// failing runners are chosen only where no other one can be.
	failing bool
	// inFlight counts this router's attempts; others is the load of all other
	// routers as of reportedAt.
	inFlight   int
	others     int
	reportedAt time.Time
	maxBatch   int
	// reading is the share of its time that the runner has read prompts lately, as of reportedAt.
	reading float64
	// pace is what work takes there, with what is usual in place of what is not known.
	pace pace.Runner
	// unreadTokens are those that this router had sent at unreadAt and that were not read yet.
	unreadTokens float64
	unreadAt     time.Time
	// lately counts the attempts that this router has sent, as of latelyAt; it fades over
	// turnTime.
	lately   float64
	latelyAt time.Time
	// answeredAt is when an attempt last ended with an answer.
	answeredAt time.Time
	breaker    breaker
	// history is nil until the first attempt: with a thousand routers most runners never get one of this one.
	history *history
	// sequence is the highest of the cache events seen.
	sequence uint64
	// rows names the placed replicas, sorted.
	rows     []structs.RowName
	replicas map[structs.RowName]*replica
}

// replica is a ready copy of a row on a runner.
type replica struct {
	row     *row
	runner  *runner
	breaker breaker
	rest    rest
	rate    failureRate
	// placed is false once the zone no longer lists the replica.
	placed       bool
	ejectedUntil time.Time
}

// row lists the replicas of a row; the subset holds those that this daemon uses.
type row struct {
	name structs.RowName
	// ready counts the replicas on runners that are not leaving.
	ready int
	// replicas are all of the row, those on leaving runners too.
	replicas []*replica
	subset   []*replica
}

// load returns the requests on the runner as far as this router knows.
func (r *runner) load(now time.Time, life time.Duration) int {
	if r.others > 0 && now.Sub(r.reportedAt) < life {
		return r.inFlight + r.others
	}
	return r.inFlight
}

// hasRoom reports whether the runner may get one more attempt. A router
// without any attempt on a crowded runner may send one there, so that other
// routers cannot keep it out; the engine's own queue orders these.
func (r *runner) hasRoom(now time.Time, options *Options) bool {
	limit := r.maxBatch + options.QueueSlack
	load := r.load(now, options.ReportLife)
	if load < limit {
		return true
	}
	return r.inFlight == 0 && load < 2*limit
}

// observe takes a load report. What this router itself had on the runner at the
// time of the report is subtracted, so that what remains is the load of others.
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

// change counts an attempt in or out.
func (r *runner) change(now time.Time, difference int) {
	r.inFlight += difference
	if r.history == nil {
		r.history = &history{}
	}
	r.history.add(now, r.inFlight)
}

// history is a ring of the latest changes of the own load.
type history struct {
	// origin is the first time that was seen: the steady clock counts from it, as the time
	// of day may jump.
	origin time.Time
	// changedAt is the time since origin, load what was in flight from then on.
	changedAt [historyLength]time.Duration
	load      [historyLength]int32
	// count is how many changes there were in all.
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

// at returns the own load at the time; if it is older than the ring reaches, the
// oldest known load.
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
