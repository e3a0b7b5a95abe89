package router

import (
	"container/heap"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Core holds the requests of one router. It is not safe for concurrent use.
type Core struct {
	options  Options
	balancer *routing.Balancer
	// tokens bounds what callers and rows may use.
	tokens *admission.TokenLimits
	now    time.Time
	// tickedAt is the time of the last Tick; events between do not put off the next.
	tickedAt time.Time
	draining bool
	// turns counts the calls of dispatchInOrder.
	turns int
	// rowTurns is the number of turns that a row which was idle starts with, so that
	// it saves up nothing; it only rises.
	rowTurns float64
	// queued counts the requests in all queues.
	queued int

	// rows are all that are known, active those of them in use.
	rows     map[structs.RowName]*row
	active   map[structs.RowName]*row
	requests map[structs.RequestID]*request
	attempts map[AttemptID]*request
	// orphans are requests that ended while a BeginClaim was unanswered.
	orphans map[structs.RequestID]structs.Claim
	timers  timers
	roles   roles
	// silentUntil holds the zones that get no offer before the time.
	silentUntil map[structs.ZoneID]time.Time

	tableRevision uint64
	viewIndex     uint64
	viewEpoch     structs.Epoch

	// reported is what the leader was told of the rows in use; demandUrgent says that
	// it should hear of a row at once.
	reported     map[structs.RowName]reportedDemand
	demandUrgent bool

	// effects are those of the Step under way; deliver is the Deliver among them.
	effects []Effect
	deliver Deliver
	// freed are the runners that got room in the Step under way.
	freed []structs.RunnerID
	// competing is the memory of dispatchInOrder's argument.
	competing []waitingRow
	stats     Stats
	// mutation lets tests break one rule; it is zero otherwise.
	mutation mutation
}

// mutation names a rule that a test breaks to show that its checker notices.
type mutation uint8

const (
	mutationNone mutation = iota
	mutationTwoTerminals
	mutationRepeatKeyed
	mutationSendUnclaimed
	mutationClaimNotRun
	mutationKeepDuplicates
	mutationIgnoreGaps
	mutationIgnoreDeadline
	mutationForgetAnswer
	mutationIgnoreLeaving
	mutationNoRetryAfter
	mutationLeakClaim
	mutationQueueOffered
	mutationHoldGivenUp
	mutationNoReview
	mutationReplayAny
)

// New makes a Core without table, placement or requests.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:  options,
		balancer: routing.New(options.Routing, options.Random),
		tokens:   admission.NewTokenLimits(options.CallerTokens, options.RowTokens),
		rows:     make(map[structs.RowName]*row),
		active:   make(map[structs.RowName]*row),
		requests: make(map[structs.RequestID]*request),
		attempts: make(map[AttemptID]*request),
		orphans:  make(map[structs.RequestID]structs.Claim),
		reported: make(map[structs.RowName]reportedDemand),
	}
}

// Step takes an event at the time now and returns the effects to carry out, in
// order. The slice and the Deliver in it are valid until the next call of Step.
// A now that lies before that of an earlier call counts as the earlier one.
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
	if len(c.freed) > 0 {
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
	case Tick:
		c.tick()
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// tick ends what is due and starts what can start.
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

// wake goes on with a request whose delay is over.
func (c *Core) wake(due *request) {
	c.sleepUntil(due, due.DeadlineAt)
	if c.mutation == mutationIgnoreDeadline && due.expired(c.now) {
		c.sleepUntil(due, c.now.Add(time.Hour))
	}
	switch due.phase {
	case phaseBackoff:
		c.enqueue(due)
	case phaseAsking:
		c.askStatus(due)
	case phaseRunning:
		c.checkStall(due)
	}
}

// sleepUntil sets when Tick looks at the request again: at the given time, or at
// its deadline if that comes first.
func (c *Core) sleepUntil(sleeper *request, when time.Time) {
	if sleeper.DeadlineAt.Before(when) && c.mutation != mutationIgnoreDeadline {
		when = sleeper.DeadlineAt
	}
	sleeper.wakeAt = when
	heap.Fix(&c.timers, sleeper.position)
}

// NextDeadline returns when the next Tick is needed at the latest; ok is false
// when nothing waits for time to pass.
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

// Idle reports whether no request is held and no claim is unanswered.
func (c *Core) Idle() bool { return len(c.requests) == 0 && len(c.orphans) == 0 }
