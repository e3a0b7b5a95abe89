package router

import (
	"container/heap"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Core holds the state of the requests of one router. It is not safe for concurrent use.
type Core struct {
	options  Options
	balancer *routing.Balancer
	// tokens limits the tokens that callers and rows may use.
	tokens *admission.TokenLimits
	now    time.Time
	// tickedAt is the time of the last Tick; other events do not postpone the next one.
	tickedAt time.Time
	draining bool
	// dispatches counts the calls of dispatchInOrder.
	dispatches int
	// virtualTime is where a row that was idle starts, so that idle rows accumulate no
	// credit. It never decreases.
	virtualTime float64
	// queued counts the requests in all queues.
	queued int

	// rows holds all known rows, active those in use.
	rows     map[structs.RowName]*row
	active   map[structs.RowName]*row
	requests map[structs.RequestID]*request
	attempts map[AttemptID]*request
	// orphanedClaims holds the claims of requests that ended while a BeginClaim was
	// unanswered.
	orphanedClaims map[structs.RequestID]structs.Claim
	timers         timers
	roles          roles
	// unresponsiveUntil holds the zones that get no offer before the given time.
	unresponsiveUntil map[structs.ZoneID]time.Time

	tableRevision uint64
	viewIndex     uint64
	viewEpoch     structs.Epoch

	// reported is the demand last reported to the leader by row; demandUrgent requests an
	// immediate report.
	reported     map[structs.RowName]reportedDemand
	demandUrgent bool

	// effects is the result of the current Step; deliver backs its Deliver effect.
	effects []Effect
	deliver Deliver
	// freedRunners lists the runners that gained capacity in the current Step.
	freedRunners []structs.RunnerID
	// rowScratch is reused for the argument of dispatchInOrder.
	rowScratch []waitingRow
	stats      Stats
	// mutation lets tests disable one rule; it is zero in production.
	mutation mutation
}

// mutation names a rule that a test disables to show that its checker detects the
// violation.
type mutation uint8

const (
	mutationNone mutation = iota
	mutationTwoTerminals
	mutationRepeatKeyed
	mutationSendUnclaimed
	mutationReportNotRun
	mutationKeepDuplicates
	mutationIgnoreGaps
	mutationIgnoreDeadline
	mutationDropAnswer
	mutationIgnoreLeaving
	mutationNoRetryAfter
	mutationLeakClaim
	mutationQueueOffered
	mutationDelayFailure
	mutationNoReview
	mutationReplayAny
)

// New returns a Core without table, placement or requests.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:        options,
		balancer:       routing.New(options.Routing, options.Random),
		tokens:         admission.NewTokenLimits(options.CallerTokens, options.RowTokens),
		rows:           make(map[structs.RowName]*row),
		active:         make(map[structs.RowName]*row),
		requests:       make(map[structs.RequestID]*request),
		attempts:       make(map[AttemptID]*request),
		orphanedClaims: make(map[structs.RequestID]structs.Claim),
		reported:       make(map[structs.RowName]reportedDemand),
	}
}

// Step processes an event at time now and returns the effects to apply, in order. The
// slice and the Deliver in it are valid until the next call of Step. If now is earlier
// than in a previous call, the previous time is used.
func (c *Core) Step(now time.Time, event Event) []Effect {
	if now.After(c.now) {
		c.now = now
	}
	clear(c.effects)
	c.effects = c.effects[:0]
	switch event := event.(type) {
	case *TokenReceived:
		c.receiveToken(event.Attempt, &event.Token)
	case TokenReceived:
		c.receiveToken(event.Attempt, &event.Token)
	default:
		c.handle(event)
	}
	if len(c.freedRunners) > 0 {
		c.dispatchFreed()
	}
	return c.effects
}

func (c *Core) handle(event Event) {
	switch event := event.(type) {
	case Arrived:
		c.arrive(event.Request)
	case CallerGone:
		c.callerGone(event.ID)
	case ClaimReplied:
		c.claimReplied(event)
	case AnswerFetched:
		c.answerFetched(event)
	case AttemptStarted:
		c.attemptStarted(event.Attempt)
	case AttemptPaused:
		c.attemptPaused(event)
	case AttemptFailed:
		c.attemptFailed(event)
	case StatusReplied:
		c.statusReplied(event)
	case ForwardFailed:
		c.forwardFailed(event)
	case OfferTaken:
		c.offerTaken(event)
	case OfferFailed:
		c.offerFailed(event)
	case ViewChanged:
		c.viewChanged(event.View)
	case LoadObserved:
		c.loadObserved(event)
	case CacheEvent:
		c.balancer.ObserveCache(routing.CacheChange{
			Runner:     event.Runner,
			Sequence:   event.Sequence,
			PrefixHash: event.PrefixHash,
			Evicted:    event.Evicted,
			Cleared:    event.Cleared,
		})
	case RunnerLeaving:
		if c.mutation != mutationIgnoreLeaving {
			c.balancer.Leave(event.Runner)
			c.roles.remove(event.Runner)
		}
	case DrainStarted:
		c.draining = true
	case DrainCut:
		c.drainCut()
	case Tick:
		c.tick()
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// tick expires overdue requests, wakes those whose delay has passed and dispatches.
func (c *Core) tick() {
	c.tickedAt = c.now
	for len(c.timers) > 0 && !c.timers[0].wakeAt.After(c.now) {
		due := c.timers[0]
		if due.expired(c.now) && c.mutation != mutationIgnoreDeadline {
			c.expire(due)
			continue
		}
		c.wake(due)
	}
	if c.queued > 0 {
		c.reviewWaiting()
		c.dispatchAll()
	}
}

// wake resumes a request whose delay has passed.
func (c *Core) wake(due *request) {
	c.scheduleWake(due, due.DeadlineAt)
	if c.mutation == mutationIgnoreDeadline && due.expired(c.now) {
		c.scheduleWake(due, c.now.Add(time.Hour))
	}
	switch due.phase {
	case phaseBackoff:
		c.enqueue(due)
	case phaseCheckingStatus:
		c.askStatus(due)
	case phaseRunning:
		c.checkStall(due)
	}
}

// scheduleWake sets the time at which Tick next processes the request, at most its
// deadline.
func (c *Core) scheduleWake(req *request, when time.Time) {
	if req.DeadlineAt.Before(when) && c.mutation != mutationIgnoreDeadline {
		when = req.DeadlineAt
	}
	req.wakeAt = when
	heap.Fix(&c.timers, req.position)
}

// NextDeadline returns the time by which the next Tick is needed; ok is false if no timer
// is pending.
func (c *Core) NextDeadline() (when time.Time, ok bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	when = c.timers[0].wakeAt
	if poll := c.tickedAt.Add(pollInterval); c.queued > 0 && poll.Before(when) {
		return poll, true
	}
	return when, true
}

// Idle reports whether the Core holds no request and no unanswered claim.
func (c *Core) Idle() bool { return len(c.requests) == 0 && len(c.orphanedClaims) == 0 }
