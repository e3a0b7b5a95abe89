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

// common is what others do on average at the candidates for a choice.
type common struct {
	// busy is the requests of others as a share of what the runners bear, reading the share of
	// their time that they read prompts.
	busy    float64
	reading float64
}

// commonOf averages over the row, quick runners counting for more.
func (b *Balancer) commonOf(now time.Time, wanted *row) common {
	var sum common
	bears := 0.0
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving {
			continue
		}
		bears += target.bears()
		if target.isReported(now, b.options.ReportLife) {
			sum.busy += float64(target.others)
			sum.reading += target.reading * target.bears()
		}
	}
	if bears == 0 {
		return common{}
	}
	return common{busy: sum.busy / bears, reading: sum.reading / bears}
}

// bears is how many requests of the usual kind the runner runs as easily as a usual one runs one.
func (r *runner) bears() float64 { return float64(r.maxBatch) / r.pace.Slowness }

func (r *runner) isReported(now time.Time, life time.Duration) bool {
	return !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < life
}

// othersNow is what others probably do at the runner now: what was reported, nearer to what is
// common the older the report is.
func (b *Balancer) othersNow(now time.Time, target *runner, usual common) (requests, reading float64) {
	if !target.isReported(now, b.options.ReportLife) {
		return usual.busy * target.bears(), usual.reading
	}
	fresh := math.Exp(-now.Sub(target.reportedAt).Seconds() / relaxTime.Seconds())
	requests = fresh*float64(target.others) + (1-fresh)*usual.busy*target.bears()
	reading = fresh*target.reading + (1-fresh)*usual.reading
	return requests, reading
}

// expected is how many seconds the replica is likely to take for a request with so many tokens
// to read, plus how many seconds those that already run there lose by it in sum: the lower, the
// more callers are served in time.
//
//	stay   = (unread + own tokens) / rate + events x event, longer by what others have read meanwhile
//	wait   = stay x crowding x the share of the batch in use
//	others = requests under way x own tokens / rate
func (b *Balancer) expected(now time.Time, candidate *replica, usual common, tokens int64) float64 {
	target := candidate.runner
	batch := float64(target.maxBatch)
	extra := way(candidate).Seconds()
	if now.Sub(target.answeredAt) > b.options.WarmTime {
		extra += b.options.ColdTime.Seconds()
	}
	if target.pace.PromptRate <= 0 {
		load := float64(target.load(now, b.options.ReportLife))
		return extra + usualStay*target.pace.Slowness*(load+1)/batch
	}
	others, reading := b.othersNow(now, target, usual)
	load := float64(target.inFlight) + others
	own := float64(tokens) / target.pace.PromptRate
	free := 1 - min(reading, maxReading)
	stay := (target.unread(now)/target.pace.PromptRate + own + usualEvents*target.pace.Event.Seconds()) / free
	wait := stay * crowding * (load + 1) / batch
	return extra + wait + stay + load*own
}

// costOf is what the replica is expected to take for the work.
func (b *Balancer) costOf(now time.Time, candidate *replica, work *Work, found *lookup) float64 {
	return b.expected(now, candidate, found.usual, work.tokens()-found.cachedTokens(candidate.runner.number))
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

// unread is how many tokens this router has sent that the runner has probably not read yet.
func (r *runner) unread(now time.Time) float64 {
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
