package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/standby"
	"github.com/lotusferry/lotusferry/structs"
)

// defaultHandleTTL is how long a standby is assumed to keep the copy of a lost stream if the document
// does not say so.
const defaultHandleTTL = 5 * time.Second

// countInterval is the interval between reports of streams while none is lost. It keeps the reports of many
// routers small.
const countInterval = time.Second

// leaderRateTTL is how long the leader's rates of lost streams are used: as long as losses take to be
// forgotten.
const leaderRateTTL = 10 * time.Second

// copies is the state of the copies of streams at their standbys. It is guarded by Router.mutex.
type copies struct {
	traffic *standby.Traffic
	// losses are the recent losses of streams by service, counts those to be reported to the leader.
	losses map[string]*fleet.StreamLosses
	counts map[string]*fleet.StreamCount
	// takenAt is when counts were reported last.
	takenAt time.Time
	// leaderRates are the rates of lost streams over all routers as of leaderRatesAt, by service.
	leaderRates   map[string]float64
	leaderRatesAt time.Time
	// brokenAt is when a connection to a runner broke last.
	brokenAt map[structs.RunnerID]time.Time
	// owners are the requests with a copy by their IDs. Runners identify copies by these IDs, which
	// callers choose, so another request with the same ID is not copied.
	owners map[string]copyOwner
}

// copyOwner is a request and the number of its copies.
type copyOwner struct {
	request *Request
	copies  int
}

// mayOwn reports whether a copy of the request would be the only one with its ID.
func (c *copies) mayOwn(request *Request) bool {
	owner, isKnown := c.owners[request.ID]
	return request.ID != "" && (!isKnown || owner.request == request)
}

// addOwned adds a number to the copies of the request.
func (c *copies) addOwned(request *Request, number int) {
	owner := copyOwner{request: request, copies: c.owners[request.ID].copies + number}
	if owner.copies > 0 {
		c.owners[request.ID] = owner
	} else {
		delete(c.owners, request.ID)
	}
}

func newCopies() copies {
	return copies{
		traffic: standby.NewTraffic(), losses: make(map[string]*fleet.StreamLosses),
		counts:   make(map[string]*fleet.StreamCount),
		brokenAt: make(map[structs.RunnerID]time.Time), owners: make(map[string]copyOwner),
	}
}

// countStreams records streams of a service that were sent, or lost with their runner.
func (c *copies) countStreams(now time.Time, service string, sent, lost int) {
	if c.losses[service] == nil {
		c.losses[service] = &fleet.StreamLosses{}
	}
	c.losses[service].Add(now, sent, lost)
	if c.counts[service] == nil {
		c.counts[service] = &fleet.StreamCount{Service: service}
	}
	c.counts[service].Sent += sent
	c.counts[service].Lost += lost
}

// takeCounts returns the streams to be reported, sorted by service: at most once per countInterval, unless
// one was lost.
func (c *copies) takeCounts(now time.Time) []fleet.StreamCount {
	isLost := false
	for _, each := range c.counts {
		isLost = isLost || each.Lost > 0
	}
	if !isLost && now.Sub(c.takenAt) < countInterval {
		return nil
	}
	c.takenAt = now
	var taken []fleet.StreamCount
	for _, service := range slices.Sorted(maps.Keys(c.counts)) {
		taken = append(taken, *c.counts[service])
	}
	clear(c.counts)
	return taken
}

// lossRate returns the rate of lost streams of a service: the router's own or, if it is known and higher,
// that over all routers.
func (c *copies) lossRate(now time.Time, service string) float64 {
	rate := 0.0
	if known := c.losses[service]; known != nil {
		rate = known.Rate(now)
	}
	if now.Sub(c.leaderRatesAt) < leaderRateTTL {
		rate = max(rate, c.leaderRates[service])
	}
	return rate
}

// streamCopy is the copy of a stream's memory at its standby. isEnded is guarded by Router.mutex.
type streamCopy struct {
	standby routing.Choice
	primary structs.RunnerID
	request *Request
	isEnded bool
}

// address returns the address of the standby; empty for no copy.
func (c *streamCopy) address() string {
	if c == nil {
		return ""
	}
	return c.standby.Address()
}

// Decisions on copies, for metrics.
const (
	copyMade      = "copied"
	copyTooDear   = "too_dear"
	copyNoStandby = "no_standby"
	copyAtLimit   = "at_limit"
	copyOff       = "off"
)

// beginCopy decides whether the memory of the stream is copied while it runs at the chosen runner, and
// records that the stream is sent.
func (x *exchange) beginCopy(choice routing.Choice) {
	if x.route.Kind != site.KindStream || x.row.Model == "" {
		x.handover.End()
		return
	}
	x.copied = x.makeCopy(choice)
	if x.isContinuing {
		x.handover.Continued(x.handoverCopy(x.copied))
		return
	}
	x.handover.Sent(x.handoverCopy(x.copied))
}

// makeCopy begins a copy of the stream that is sent to the chosen runner, or returns nil.
func (x *exchange) makeCopy(choice routing.Choice) *streamCopy {
	r := x.router
	r.mutex.Lock()
	now := r.now()
	if x.countsStreams() {
		r.copies.countStreams(now, x.row.Service, 1, 0)
	}
	made, decision := r.newCopy(now, x, choice.Runner())
	r.mutex.Unlock()
	r.metrics.copies.WithLabelValues(decision).Inc()
	if made != nil {
		r.metrics.copiedBytes.Add(x.copyBytes())
	}
	return made
}

// handoverCopy describes a copy of the stream to its handover; nil for none.
func (x *exchange) handoverCopy(made *streamCopy) *standby.Copy {
	if made == nil {
		return nil
	}
	return &standby.Copy{Runner: made.standby.Runner(), TTL: x.engine.HandleTTL}
}

// newCopy begins a copy, or returns nil and the reason why there is none. The caller must hold
// r.mutex.
func (r *Router) newCopy(now time.Time, x *exchange, runner structs.RunnerID) (*streamCopy, string) {
	size := standby.Size{Prompt: x.request.Size.Prompt, Answer: x.request.Size.Answer}
	isOn := x.engine != nil && x.engine.Backups && x.engine.TokenBytes > 0 && x.engine.LinkMbps > 0
	if !isOn || !size.IsKnown() || !r.copies.mayOwn(x.request) || !x.mayCopyAgain() {
		return nil, copyOff
	}
	risk := standby.Risk(r.signsOf(now, runner), r.copies.lossRate(now, x.row.Service))
	if !standby.IsWorthCopying(risk, size, float64(x.engine.TokenBytes), x.route.Resumable) {
		return nil, copyTooDear
	}
	share := standby.Share(x.engine.LinkMbps, r.routerCount.routers)
	wanted := routing.StandbyWork{Primary: runner, Former: x.lostAt, MayTake: func(id structs.RunnerID) bool {
		return r.copies.traffic.MayBegin(now, id, share)
	}}
	if x.regions != nil {
		wanted.Zones = x.regions.zones
	}
	chosen, found := r.pickStandby(x.row, &wanted)
	switch found {
	case routing.StandbyNone:
		return nil, copyNoStandby
	case routing.StandbyAtLimit:
		return nil, copyAtLimit
	}
	r.copies.traffic.Begin(now, chosen.Runner(), share, x.copyBytes())
	chosen.CopyBegan(runner)
	r.copies.addOwned(x.request, 1)
	return &streamCopy{standby: chosen, primary: runner, request: x.request}, copyMade
}

// countsStreams reports whether losses of the request matter for copies.
func (x *exchange) countsStreams() bool {
	return x.route.Kind == site.KindStream && x.row.Model != "" && x.engine != nil && x.engine.Backups
}

// mayCopyAgain reports whether a copy of the run that begins could be continued: a continuation has used
// up one of those allowed.
func (x *exchange) mayCopyAgain() bool {
	return x.handover.MayCopy() && !(x.isContinuing && x.handover.IsContinued())
}

// copyBytes estimates the bytes of a complete copy of the stream.
func (x *exchange) copyBytes() float64 {
	return float64(x.request.Size.Prompt+x.request.Size.Answer) * float64(x.engine.TokenBytes)
}

// signsOf returns what makes a runner doubtful. The caller must hold r.mutex.
func (r *Router) signsOf(now time.Time, id structs.RunnerID) standby.Signs {
	signs := standby.Signs{IsLeaving: r.notices.book.IsLeaving(string(id))}
	if at, isKnown := r.copies.brokenAt[id]; isKnown {
		signs.IsBroken = now.Sub(at) < standby.BrokenTTL
	}
	if runner := r.fleet.Runner(string(id)); runner != nil {
		signs.IsFailing, signs.IsCold = runner.Failing, runner.Cold
		signs.IsLeaving = signs.IsLeaving || runner.Leaving
	}
	return signs
}

// noteStreamEnd records what the end of an attempt says about the risk of losses, and ends the copy: at
// once if the run has ended well or has not begun, otherwise when the standby drops it. A stream that was
// lost before its first event says nothing, since no copy would have saved it.
func (x *exchange) noteStreamEnd(runner structs.RunnerID, ended result) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ended.isLoss() && x.lastEvent > x.request.ResumeAfter {
		if _, isCandidate := r.candidates.runners[string(runner)]; isCandidate && ended.reason != reasonRunnerFailed {
			r.copies.brokenAt[runner] = r.now()
		}
		if x.countsStreams() {
			r.copies.countStreams(r.now(), x.row.Service, 0, 1)
		}
	}
	copied := x.copied
	switch {
	case copied == nil:
	case ended.isServed() || ended.isNotRun:
		r.endCopy(copied)
	default:
		keep := x.engine.HandleTTL
		if keep <= 0 {
			keep = defaultHandleTTL
		}
		time.AfterFunc(keep, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.endCopy(copied)
		})
	}
}

// dropCopy is endCopy for callers that do not hold r.mutex and may have no copy.
func (r *Router) dropCopy(copied *streamCopy) {
	if copied == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.endCopy(copied)
}

// endCopy records that a copy no longer takes memory at its standby. The caller must hold r.mutex.
func (r *Router) endCopy(copied *streamCopy) {
	if copied.isEnded {
		return
	}
	copied.isEnded = true
	copied.standby.CopyEnded(copied.primary)
	r.copies.addOwned(copied.request, -1)
}
