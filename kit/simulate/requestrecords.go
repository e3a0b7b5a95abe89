package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// The checkers of the requests scenario.
const (
	checkerOnce     = "at-most-once"
	checkerNotRun   = "not-run"
	checkerAnswer   = "answer"
	checkerTerminal = "terminal"
	checkerAtOnce   = "refused-at-once"
	checkerLeaving  = "leaving"
	checkerStop     = "planned-stop"
	checkerBudget   = "retry-budget"
	checkerStall    = "stall"
	checkerClaims   = "claims-end"
	checkerOffer    = "offer"
	checkerKept     = "answer-kept"
	checkerAtEnd    = "resend-at-end"
	// checkerShell reports errors of the simulator itself.
	checkerShell = "shell"
)

var requestCheckers = []string{
	checkerOnce, checkerNotRun, checkerAnswer, checkerTerminal, checkerAtOnce, checkerLeaving,
	checkerStop, checkerBudget, checkerStall, checkerClaims, checkerOffer, checkerKept, checkerAtEnd, checkerRunaway,
}

const (
	// terminalBound is how long after its deadline a caller may wait for the
	// terminal answer: a router tick, the network in both directions, and forwarding
	// between zones.
	terminalBound = 250 * time.Millisecond
	// leavingBound is how long a leaving runner may still receive new work.
	leavingBound = 3 * time.Second
	// stallSlack is added to the time limit of a router's wait for an unresponsive
	// engine: ticks, the network, and connecting.
	stallSlack = 500 * time.Millisecond
	// stallShare divides the request's remaining time; the quotient is the extra
	// time allowed for a first token, because other requests may be ahead at the
	// engine.
	stallShare = 4
)

// requestRecords holds the checkers' records of what callers sent and received, what
// passed through the routers and what reached the engines. None of it is read from a
// router.Core.
type requestRecords struct {
	site    *requestSite
	origin  map[structs.RequestID]*submission
	budgets map[structs.DaemonID]map[structs.RowName]*rowBudget
	waits   map[router.AttemptID]*engineWait
	// failedAt is when an attempt or a claim of a request last failed.
	failedAt map[structs.RequestID]time.Duration
	// offered holds the IDs of requests from other zones that routers must execute
	// at once or refuse.
	offered map[structs.RequestID]bool
	counts  *RequestCounts
	// answers records where the answer under each key is stored.
	answers map[structs.ClaimKey]*answerRecord
	// networkChangedAt is when a cut or a storm last started or ended.
	networkChangedAt time.Duration
}

// rowBudget counts the requests and retries of a row in one router process.
type rowBudget struct {
	arrived int
	retries int
	// deletions counts how often the table lost the row. A row that is added again
	// has a new retry reserve.
	deletions int
}

func newRequestRecords(site *requestSite) *requestRecords {
	return &requestRecords{
		site:     site,
		origin:   map[structs.RequestID]*submission{},
		budgets:  map[structs.DaemonID]map[structs.RowName]*rowBudget{},
		waits:    map[router.AttemptID]*engineWait{},
		failedAt: map[structs.RequestID]time.Duration{},
		offered:  map[structs.RequestID]bool{},
		counts:   &site.counts.Requests,
		answers:  map[structs.ClaimKey]*answerRecord{},
	}
}

func (r *requestRecords) now() time.Duration { return r.site.scheduler.Now() }

// routerStarted resets the counts of the router's earlier process.
func (r *requestRecords) routerStarted(host *routerHost) {
	r.budgets[host.id] = map[structs.RowName]*rowBudget{}
}

func (r *requestRecords) row(host *routerHost, name structs.RowName) *rowBudget {
	counted := r.budgets[host.id][name]
	if counted == nil {
		counted = &rowBudget{}
		r.budgets[host.id][name] = counted
	}
	return counted
}

// arrived records the ID under which a router knows a submission.
func (r *requestRecords) arrived(host *routerHost, from *submission, request structs.Request) {
	r.origin[request.ID] = from
	from.requests = append(from.requests, request.ID)
	r.row(host, request.Row).arrived++
	if request.IfReady {
		r.offered[request.ID] = true
		r.counts.Offered++
	}
}

// stepped checks and records a router's effects of an event.
func (r *requestRecords) stepped(host *routerHost, event router.Event, effects []router.Effect) {
	r.noteEvent(event)
	if changed, isView := event.(router.ViewChanged); isView {
		for _, name := range changed.View.Table.Deleted {
			r.row(host, name).deletions++
		}
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case router.SendAttempt:
			r.attemptSent(host, effect)
		case router.CancelAttempt:
			delete(r.waits, effect.Attempt)
		case router.AskStatus:
			if wait := r.waits[effect.Attempt]; wait != nil {
				wait.statusRequested(r.now())
			}
		case router.Reject:
			r.refused(event, effect)
		}
	}
	if _, isTick := event.(router.Tick); isTick {
		r.checkWaits(host)
	}
	if arrived, isArrival := event.(router.Arrived); isArrival && r.offered[arrived.Request.ID] {
		r.checkOffered(host, arrived.Request.ID, effects)
	}
}

// checkOffered checks that an offered request is sent to an engine or refused at
// once, and never queued.
func (r *requestRecords) checkOffered(host *routerHost, id structs.RequestID, effects []router.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case router.SendAttempt:
			if effect.Attempt.Request() == id {
				r.counts.OffersTaken++
				return
			}
		case router.Reject:
			if effect.ID == id {
				return
			}
		}
	}
	r.site.judge.Report(checkerOffer, "%s queues %s, which another zone offered", host.id, id)
}

func (r *requestRecords) noteEvent(event router.Event) {
	switch event := event.(type) {
	case router.AttemptFailed:
		delete(r.waits, event.Attempt)
		r.failedAt[event.Attempt.Request()] = r.now()
	case router.StatusReplied:
		r.failedAt[event.ID] = r.now()
	case router.ClaimReplied:
		r.failedAt[event.ID] = r.now()
	case router.TokenReceived:
		if wait := r.waits[event.Attempt]; wait != nil && event.Token.ID == structs.RequestID(event.Attempt) {
			wait.tokenReceived(r.now())
		}
		if event.Token.Finish != "" {
			delete(r.waits, event.Attempt)
		}
	}
}

// attemptSent counts an attempt and checks the retry budget of the row.
func (r *requestRecords) attemptSent(host *routerHost, effect router.SendAttempt) {
	request := host.calls[effect.Attempt.Request()]
	counted := r.row(host, effect.Generate.Row)
	number := attemptNumber(effect.Attempt)
	r.counts.Attempts++
	if number > 1 {
		r.counts.Retries++
		counted.retries++
	}
	most := float64(requestRetryReserve*(1+counted.deletions)) + requestRetryRatio*float64(counted.arrived)
	if float64(counted.retries) > most {
		r.site.judge.Report(checkerBudget, "%s sent %d retries of row %s for %d requests, the budget is %.1f",
			host.id, counted.retries, effect.Generate.Row, counted.arrived, most)
	}
	if request != nil {
		r.waits[effect.Attempt] = newEngineWait(request.request, r.now(), r.site.now())
	}
}

func attemptNumber(id router.AttemptID) int {
	number := 0
	for _, digit := range string(id)[len(id.Request())+1:] {
		number = 10*number + int(digit-'0')
	}
	return number
}

// refused checks that a failed request is refused without delay.
func (r *requestRecords) refused(event router.Event, effect router.Reject) {
	failed, known := r.failedAt[effect.ID]
	_, isTick := event.(router.Tick)
	kind := effect.Rejection.Error.Kind
	if !isTick || !known || kind != structs.ErrorUnavailable || failed == r.now() {
		return
	}
	submitted := r.origin[effect.ID]
	if submitted != nil && r.now() < submitted.deadlineAt {
		return
	}
	if effect.Rejection.Execution == structs.ExecutionNotRun {
		r.site.judge.Report(checkerAtOnce, "%s was refused at its deadline, %v after it had failed", effect.ID, r.now()-failed)
	}
}

// decided records when a router refused a submission.
func (r *requestRecords) decided(given *submission) { given.decidedAt = r.now() }

// answered checks that the router informs its caller when it refuses.
func (r *requestRecords) answered(given *submission) {
	if held := r.now() - given.decidedAt; given.decidedAt > 0 && held > 0 && given.ending == "" {
		r.site.judge.Report(checkerAtOnce, "%s received its refusal %v after its router had decided on it", given.name(), held)
	}
	given.decidedAt = 0
}

// checkLeavingRequest checks that a runner which has been leaving for some time gets no
// new work.
func (r *requestRecords) checkLeavingRequest(runner structs.RunnerID, request structs.GenerateRequest, since time.Duration) {
	if since > leavingBound {
		r.site.judge.Report(checkerLeaving, "%s got %s %v after it began to leave", runner, request.ID, since)
	}
}

// stopPlanned records the submissions that a planned stop must not interrupt.
func (r *requestRecords) stopPlanned(host *routerHost) {
	for _, call := range host.calls {
		call.submission.stopping = call.submission.router == host.id
	}
}

// crashed records that a planned stop was not completed.
func (r *requestRecords) crashed(host *routerHost) {
	for _, call := range host.calls {
		call.submission.stopping = false
	}
}

// ended counts and checks the end of a submission.
func (r *requestRecords) ended(done *submission) {
	r.site.trace.Event(done.ending, done.name(), string(done.router))
	switch done.ending {
	case endingWhole:
		r.counts.Whole++
	case endingReplay:
		r.counts.Replayed++
	case endingRefused:
		r.countRefusal(done.refusal.Execution)
		r.checkResend(done)
	case endingGone:
		r.counts.Gone++
	case endingBroken:
		r.counts.Broken++
		if done.stopping {
			r.site.judge.Report(checkerStop, "the planned stop of %s cut %s", done.router, done.name())
		}
	}
}

func (r *requestRecords) countRefusal(execution structs.Execution) {
	r.counts.Refused++
	switch execution {
	case structs.ExecutionNotRun:
		r.counts.NotRun++
	case structs.ExecutionUnknown:
		r.counts.Unknown++
	}
}

// due checks that a submission has its terminal answer in time.
func (r *requestRecords) due(open *submission) {
	if open.ending == "" {
		r.site.judge.Report(checkerTerminal, "%s has no terminal answer %v after its deadline", open.name(), terminalBound)
	}
}

// checkEnd compares the callers' records with the engines' at the end of the seed.
func (r *requestRecords) checkEnd() {
	byRequest := map[structs.RequestID]int{}
	byPrompt := map[uint64]int{}
	for _, engine := range r.site.engines {
		records := engine.engine.Records()
		if records.Dropped > 0 {
			r.site.judge.Report(checkerShell, "%s dropped records", engine.id)
		}
		for _, execution := range records.Executions {
			byRequest[router.AttemptID(execution.ID).Request()]++
			byPrompt[execution.PromptHash]++
		}
	}
	homes := r.site.homes()
	for _, zone := range requestZones {
		for _, claim := range homes[zone].heldClaims() {
			r.counts.ClaimsHeld++
			r.site.judge.Report(checkerClaims, "the claim on %s by %s in %s was never ended", claim.Key, claim.Request, zone)
		}
	}
	for _, caller := range r.site.callers {
		r.checkCaller(caller, byRequest, byPrompt)
	}
}

func (r *requestRecords) checkCaller(caller *requestCaller, byRequest map[structs.RequestID]int, byPrompt map[uint64]int) {
	runs := byPrompt[emulator.PromptHash(caller.row, caller.prompt)]
	r.countCaller(caller, runs)
	if caller.key != "" && runs > 1 {
		r.site.judge.Report(checkerOnce, "the request of caller-%d with key %q ran %d times", caller.number, caller.key, runs)
	}
	for _, sent := range caller.submissions {
		if sent.ending == "" {
			r.counts.Lost++
			r.site.judge.Report(checkerTerminal, "%s was lost", sent.name())
		}
		if sent.refusal == nil || sent.refusal.Execution != structs.ExecutionNotRun {
			continue
		}
		for _, id := range sent.requests {
			if byRequest[id] > 0 {
				r.site.judge.Report(checkerNotRun, "%s was refused as not_run and ran as %s: %s", sent.name(), id, sent.refusal.Error.Message)
			}
		}
	}
}

// countCaller adds the outcome of a caller's request to the totals.
func (r *requestRecords) countCaller(caller *requestCaller, runs int) {
	r.counts.Submitted += len(caller.submissions)
	if caller.key != "" {
		r.counts.Keys++
		r.counts.KeysRun += min(runs, 1)
	}
	if caller.priority == structs.PriorityLive && len(caller.submissions) > 0 && !caller.gone {
		r.counts.Live++
		first := caller.submissions[0]
		if first.ending == endingWhole || first.ending == endingReplay {
			r.counts.LiveWhole++
		}
	}
}
