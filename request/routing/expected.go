package routing

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// usualStay is how long a request is taken to run where nothing is known of the pace of any
	// runner. All candidates share it then, so that it only gives the load a unit: seconds.
	usualStay = 1.0
	// usualEvents is how many events a stream is taken to have after its first one. A caller who
	// reads along waits for each of them.
	usualEvents = 10
	// maxReading bounds the share of its time that a runner is taken to read prompts, so that one
	// that cannot keep up is very slow, and still comparable with another such one.
	maxReading = 0.9
	// crowding is how many times its stay a request is taken to lose at a runner whose batch is in
	// use as a whole, and in proportion below: by the prompts that are read meanwhile, and
	// by the chance that it is full by then, as the work of others is known late. In the load
	// test 1 to 4 serve alike many callers in time; 4 keeps clear of full runners best.
	crowding = 4.0
)

// relaxTime is how quickly the word on what others do at a runner ages: about as long as a stream
// takes. After it two thirds of those that were there have ended, and what has come since went
// where the same word sent it, so that the differences between runners have shrunk as much.
const relaxTime = 500 * time.Millisecond

// outlook is what one choice knows of the work of others.
type outlook struct {
	now  time.Time
	life time.Duration
	// reportedAt is that of the last runner that was asked for, and fresh how fresh that is: one
	// word of the leader tells of all runners.
	reportedAt time.Time
	fresh      float64
	// isKnown is set if there is a report on any of the candidates. busy is the requests of others
	// there as a share of what the runners bear, reading the share of their time that they
	// read prompts, quick runners counting for more.
	isKnown bool
	busy    float64
	reading float64
}

// look sums up what is known of the candidates of a row.
func (b *Balancer) look(now time.Time, wanted *row) outlook {
	o := outlook{now: now, life: b.options.ReportLife}
	bears := 0.0
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || target.pace.PromptRate <= 0 {
			continue
		}
		bears += target.bears()
		if o.freshness(target) > 0 {
			o.isKnown = true
			o.busy += float64(target.others)
			o.reading += target.reading * target.bears()
		}
	}
	if bears > 0 {
		o.busy /= bears
		o.reading /= bears
	}
	return o
}

// bears is how many requests of the usual kind the runner runs as easily as a usual one runs one.
func (r *runner) bears() float64 { return float64(r.maxBatch) / r.pace.Slowness }

// freshness is 1 for a report on the runner of just now, and less the older it is; 0 if there is none
// that counts.
func (o *outlook) freshness(target *runner) float64 {
	if target.reportedAt.IsZero() {
		return 0
	}
	if target.reportedAt != o.reportedAt {
		o.reportedAt = target.reportedAt
		age := o.now.Sub(target.reportedAt)
		o.fresh = 0
		if age < o.life {
			o.fresh = math.Exp(-age.Seconds() / relaxTime.Seconds())
		}
	}
	return o.fresh
}

// others is what others probably do at the runner now: what was reported, nearer to what is
// common the older the report is.
func (o *outlook) others(target *runner) (requests, reading float64) {
	fresh := o.freshness(target)
	requests = fresh*float64(target.others) + (1-fresh)*o.busy*target.bears()
	reading = fresh*target.reading + (1-fresh)*o.reading
	return requests, reading
}

// expected is how many seconds the replica is likely to take for a request with so many tokens
// to read, plus how many seconds those that already run there lose by it in sum: the lower, the
// more callers are served in time.
//
//	stay   = (unread + own tokens) / rate + events x event, longer by what others have read meanwhile
//	wait   = stay x crowding x the share of the batch in use
//	others = requests under way x own tokens / rate
func (b *Balancer) expected(now time.Time, candidate *replica, o *outlook, tokens int64) float64 {
	target := candidate.runner
	batch := float64(target.maxBatch)
	extra := b.way(candidate.runner).Seconds()
	if b.options.ColdTime > 0 && !target.isWarm(now, b.options.WarmTime) {
		extra += b.options.ColdTime.Seconds()
	}
	if target.pace.PromptRate <= 0 {
		load := float64(target.load(now, b.options.ReportLife))
		return extra + usualStay*target.pace.Slowness*(load+1)/batch
	}
	others, reading := o.others(target)
	load := float64(target.inFlight) + others
	own := float64(tokens) / target.pace.PromptRate
	free := 1 - min(reading, maxReading)
	stay := (target.unread(now)/target.pace.PromptRate + own + usualEvents*target.pace.Event.Seconds()) / free
	wait := stay * crowding * (load + 1) / batch
	return extra + wait + stay + load*own
}

// costOf is what the replica is expected to take for the work.
func (b *Balancer) costOf(now time.Time, candidate *replica, work *Work, found *lookup) float64 {
	return b.expected(now, candidate, &found.outlook, work.tokens()-found.cachedTokens(candidate.runner.number))
}

// SetPace adopts what work takes at a runner. Of the replicas of a row, all or none should tell
// their PromptRate and Event: where they don't, the share of its batch that a runner has in
// use stands for the time that it takes.
func (b *Balancer) SetPace(id structs.RunnerID, learned pace.Runner) {
	if target := b.runners[id]; target != nil {
		target.pace = orUsual(learned)
	}
}

// orUsual takes a runner of which nothing is known to be as quick as the usual one.
func orUsual(learned pace.Runner) pace.Runner {
	if learned.Slowness <= 0 {
		learned.Slowness = 1
	}
	return learned
}

// isWarm reports whether there is a connection to the runner, as it has answered lately.
func (r *runner) isWarm(now time.Time, life time.Duration) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) <= life
}

// unread is how many tokens this router has sent that the runner has probably not read yet.
func (r *runner) unread(now time.Time) float64 {
	if r.unreadTokens == 0 {
		return 0
	}
	return max(0, r.unreadTokens-now.Sub(r.unreadAt).Seconds()*r.pace.PromptRate)
}

// addUnread counts the tokens of a prompt that is sent now.
func (r *runner) addUnread(now time.Time, tokens int64) {
	r.unreadTokens = r.unread(now) + float64(tokens)
	r.unreadAt = now
}

// ObserveReading takes which share of its time a runner has read prompts lately.
func (b *Balancer) ObserveReading(id structs.RunnerID, share float64) {
	if target := b.runners[id]; target != nil {
		target.reading = share
	}
}
