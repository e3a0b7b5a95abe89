package routing

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// defaultServiceTime is the assumed duration of a request, in seconds, where the pace
	// of no runner is known.
	defaultServiceTime = 1.0
	// defaultStreamEvents is the assumed number of events of a stream after the first.
	defaultStreamEvents = 10
	// maxPrefillShare bounds the share of time that a runner is assumed to spend on
	// prompts, which keeps the costs of overloaded runners finite and comparable.
	maxPrefillShare = 0.9
	// waitFactor is the multiple of its service time that a request is expected to wait
	// at a runner with a full batch, and in proportion below: for prompts processed
	// meanwhile, and for the chance that the runner is full, as load reports are delayed.
	waitFactor = 4.0
)

// reportDecayTime is the time constant with which a load report loses weight, about
// the duration of a stream: after it, two thirds of the reported requests have ended, and
// the new ones went where the same report sent them.
const reportDecayTime = 500 * time.Millisecond

// peerLoad is the known load of other routers, as used for one choice.
type peerLoad struct {
	now       time.Time
	reportTTL time.Duration
	// reportedAt is the time of the report that lastFreshness belongs to. One report of
	// the leader usually covers all runners.
	reportedAt    time.Time
	lastFreshness float64
	// isKnown is set if there is a report on any of the candidates. utilization is the
	// requests of other routers there over the capacity of the runners, prefillShare the
	// share of time spent on prompts, weighted by capacity.
	isKnown      bool
	utilization  float64
	prefillShare float64
}

// peerLoad sums up the reported load of the candidates of a row.
func (b *Balancer) peerLoad(now time.Time, wanted *row) peerLoad {
	sum := peerLoad{now: now, reportTTL: b.options.ReportTTL}
	capacity := 0.0
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || target.pace.PromptRate <= 0 {
			continue
		}
		capacity += target.capacity()
		if sum.freshness(target) > 0 {
			sum.isKnown = true
			sum.utilization += float64(target.others)
			sum.prefillShare += target.prefillShare * target.capacity()
		}
	}
	if capacity > 0 {
		sum.utilization /= capacity
		sum.prefillShare /= capacity
	}
	return sum
}

// capacity is the batch size of the runner relative to its speed.
func (r *runner) capacity() float64 { return float64(r.maxBatch) / r.pace.Slowness }

// freshness returns the weight of the last report on the runner: 1 for a new one,
// decaying with its age; 0 without a valid report.
func (p *peerLoad) freshness(target *runner) float64 {
	if target.reportedAt.IsZero() {
		return 0
	}
	if target.reportedAt != p.reportedAt {
		p.reportedAt = target.reportedAt
		age := p.now.Sub(target.reportedAt)
		p.lastFreshness = 0
		if age < p.reportTTL {
			p.lastFreshness = math.Exp(-age.Seconds() / reportDecayTime.Seconds())
		}
	}
	return p.lastFreshness
}

// others estimates the current load of other routers on the runner: the report,
// moved towards the average of the candidates with its age.
func (p *peerLoad) others(target *runner) (requests, prefillShare float64) {
	fresh := p.freshness(target)
	requests = fresh*float64(target.others) + (1-fresh)*p.utilization*target.capacity()
	prefillShare = fresh*target.prefillShare + (1-fresh)*p.prefillShare
	return requests, prefillShare
}

// expected returns the cost of the request at the replica, in seconds: its expected
// time plus the delay that its prompt causes to the requests already there.
//
//	serviceTime = ((pending + prompt tokens) / rate + events × event time) / (1 - prefill share of others)
//	wait        = serviceTime × waitFactor × share of the batch in use
//	delay       = requests in flight × prompt tokens / rate
func (b *Balancer) expected(now time.Time, candidate *replica, peers *peerLoad, tokens int64) float64 {
	target := candidate.runner
	batch := float64(target.maxBatch)
	extra := b.remoteCost(candidate.runner).Seconds()
	if b.options.ColdTime > 0 && !target.isWarm(now, b.options.WarmTime) {
		extra += b.options.ColdTime.Seconds()
	}
	if target.pace.PromptRate <= 0 {
		load := float64(target.load(now, b.options.ReportTTL))
		return extra + defaultServiceTime*target.pace.Slowness*(load+1)/batch
	}
	others, prefillShare := peers.others(target)
	load := float64(target.inFlight) + others
	prefill := float64(tokens) / target.pace.PromptRate
	free := 1 - min(prefillShare, maxPrefillShare)
	serviceTime := (target.pendingAt(now)/target.pace.PromptRate + prefill + defaultStreamEvents*target.pace.Event.Seconds()) / free
	wait := serviceTime * waitFactor * (load + 1) / batch
	return extra + wait + serviceTime + load*prefill
}

// costOf returns the expected cost of the work at the replica.
func (b *Balancer) costOf(now time.Time, candidate *replica, work *Work, found *lookup) float64 {
	return b.expected(now, candidate, &found.peers, work.tokens()-found.cachedTokens(candidate.runner.number))
}

// SetPace sets the measured pace of a runner. Either all or none of the replicas of a
// row should have PromptRate and Event: without them the cost is estimated by the
// share of the batch in use.
func (b *Balancer) SetPace(id structs.RunnerID, learned pace.Runner) {
	if target := b.runners[id]; target != nil {
		target.pace = withDefaultSlowness(learned)
	}
}

// withDefaultSlowness sets an unknown slowness to 1.
func withDefaultSlowness(learned pace.Runner) pace.Runner {
	if learned.Slowness <= 0 {
		learned.Slowness = 1
	}
	return learned
}

// isWarm reports whether the runner has answered within the given time, so that a connection is probably open.
func (r *runner) isWarm(now time.Time, ttl time.Duration) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) <= ttl
}

// pendingAt estimates how many tokens sent by this router the runner has not processed yet.
func (r *runner) pendingAt(now time.Time) float64 {
	if r.pendingTokens == 0 {
		return 0
	}
	return max(0, r.pendingTokens-now.Sub(r.pendingTokensAt).Seconds()*r.pace.PromptRate)
}

// addPending counts the tokens of a prompt that is sent now.
func (r *runner) addPending(now time.Time, tokens int64) {
	r.pendingTokens = r.pendingAt(now) + float64(tokens)
	r.pendingTokensAt = now
}

// ObservePrefillShare records the share of its recent time that a runner spent processing prompts.
func (b *Balancer) ObservePrefillShare(id structs.RunnerID, share float64) {
	if target := b.runners[id]; target != nil {
		target.prefillShare = share
	}
}
