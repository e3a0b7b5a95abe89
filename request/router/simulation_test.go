package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// simulation drives a Core with random events, an adversarial engine and a slow home
// zone, and records every violation of the rules.
type simulation struct {
	random      *rand.Rand
	core        *Core
	now         time.Time
	pending     []scheduled
	requests    map[structs.RequestID]*trackedRequest
	attempts    map[AttemptID]*engineAttempt
	claims      map[structs.ClaimKey]structs.Claim
	keptAnswers map[structs.ClaimKey][]byte
	executions  map[string]int
	leaving     map[structs.RunnerID]bool
	violations  map[string]string
	ends        map[string]int
	trace       strings.Builder
}

type scheduled struct {
	at    time.Time
	event Event
}

type trackedRequest struct {
	request       structs.Request
	terminals     int
	gone          bool
	claimedRunner structs.RunnerID
	notRun        bool
	delivered     int
	answerKept    bool
	// lateSince is when the request was first estimated to start too late.
	lateSince time.Time
}

type engineAttempt struct {
	request     *trackedRequest
	received    bool
	executed    bool
	fenced      bool
	incarnation structs.Incarnation
}

const answerTokens = 5

var testStart = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, broken mutation) *simulation {
	w := &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         testStart,
		requests:    map[structs.RequestID]*trackedRequest{},
		attempts:    map[AttemptID]*engineAttempt{},
		claims:      map[structs.ClaimKey]structs.Claim{},
		keptAnswers: map[structs.ClaimKey][]byte{},
		executions:  map[string]int{},
		leaving:     map[structs.RunnerID]bool{},
		violations:  map[string]string{},
		ends:        map[string]int{},
	}
	w.core = New(Options{
		Zone: "a", Zones: []structs.ZoneID{"a", "b"}, Daemon: "daemon", QueueLimit: 6,
		Random: rand.New(rand.NewPCG(seed, 2)), TotalLimit: 20,
		StallFloor: 200 * time.Millisecond, StallCeiling: 500 * time.Millisecond,
		Routing: routing.Options{MaxBatch: 2, QueueSlack: 1},
	})
	w.core.mutation = broken
	return w
}

func (w *simulation) violate(rule, format string, arguments ...any) {
	w.violations[rule] = fmt.Sprintf(format, arguments...)
}

func (w *simulation) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *simulation) after(limit time.Duration, event Event) {
	delay := time.Duration(w.random.Int64N(int64(limit)))
	w.pending = append(w.pending, scheduled{w.now.Add(delay), event})
}

// run schedules arrivals during five seconds and advances until no event is pending.
func (w *simulation) run() {
	first := testView(4, "row", "other")
	first.Table.Rows = append(first.Table.Rows, structs.Row{Name: "far", MaxReplicas: 1})
	first.Table.Elsewhere = []structs.RowZones{{Row: "far", Zones: []structs.ZoneID{"b"}}, {Row: "cold", Zones: []structs.ZoneID{"a", "b", "c"}}}
	w.step(ViewChanged{View: first})
	for number := range 60 {
		w.after(5*time.Second, Arrived{Request: w.newRequest(number)})
	}
	for _, runner := range []structs.RunnerID{"runner-1", "runner-2"} {
		w.after(6*time.Second, RunnerLeaving{Runner: runner})
	}
	w.scheduleDisturbances()
	for range 3000 {
		if !w.advance() {
			break
		}
	}
	w.checkEnd()
}

// scheduleDisturbances schedules delayed load reports, cache events with gaps, rows that
// are removed, moved and restored, a runner restart, and sometimes a drain.
func (w *simulation) scheduleDisturbances() {
	for number := range 40 {
		runner := structs.RunnerID(fmt.Sprintf("runner-%d", number%4))
		report := structs.LoadReport{Running: w.random.IntN(6), MaxBatch: 2, TokensPerSecond: 20, ObservedAt: w.now.Add(time.Duration(number*200) * time.Millisecond)}
		w.after(10*time.Second, LoadObserved{Runner: runner, Report: report})
		w.after(10*time.Second, CacheEvent{Runner: runner, Sequence: uint64(number), Row: "row", PrefixHash: uint64(number), Evicted: w.chance(30)})
	}
	removed := testView(4, "row")
	removed.Index, removed.Table.Revision = 2, 2
	moved := testView(4, "row")
	moved.Index, moved.Table.Revision = 3, 3
	moved.Table.Rows = append(moved.Table.Rows, structs.Row{Name: "other", MaxReplicas: 1})
	moved.Table.Elsewhere = []structs.RowZones{{Row: "other", Zones: []structs.ZoneID{"b"}}}
	restarted := testView(4, "row", "other")
	restarted.Index, restarted.Table.Revision = 4, 4
	restarted.Placement.Runners[0].Incarnation++
	for _, view := range []structs.ZoneView{removed, moved, restarted} {
		w.after(8*time.Second, ViewChanged{View: view})
	}
	if w.chance(10) {
		w.after(8*time.Second, DrainStarted{})
	}
}

func (w *simulation) newRequest(number int) structs.Request {
	request := structs.Request{
		ID:         structs.RequestID(fmt.Sprintf("request-%d", number)),
		Row:        []structs.RowName{"row", "row", "other", "cold", "cold", "missing", "far"}[w.random.IntN(7)],
		Prompt:     fmt.Sprintf("prompt-%d", number),
		MaxTokens:  answerTokens,
		Priority:   structs.Priority(w.random.IntN(3)),
		DeadlineAt: testStart.Add(time.Duration(2+w.random.IntN(12)) * time.Second),
		Caller:     fmt.Sprintf("caller-%d", number%3),
		Forwarded:  w.chance(10),
	}
	if w.chance(50) {
		request.IdempotencyKey = fmt.Sprintf("%s:%d", []string{"a", "a", "a", "b"}[w.random.IntN(4)], w.random.IntN(3))
		request.Caller = fmt.Sprintf("caller-%d", w.random.IntN(2))
		request.Row = "row"
		if w.chance(10) {
			request.Row = "far"
		}
		request.Prompt = "keyed " + string(claimKey(request))
	}
	request.IfReady = request.Forwarded && request.Repeatable() && number%2 == 0
	return request
}

// advance processes the earliest event, or a Tick that is due before it.
func (w *simulation) advance() bool {
	slices.SortStableFunc(w.pending, func(a, b scheduled) int { return a.at.Compare(b.at) })
	when, ticks := w.core.NextDeadline()
	if len(w.pending) > 0 && (!ticks || w.pending[0].at.Before(when)) {
		next := w.pending[0]
		w.pending = w.pending[1:]
		w.now = next.at
		w.step(next.event)
		return true
	}
	if !ticks {
		return false
	}
	if when.After(w.now) {
		w.now = when
	}
	w.step(Tick{})
	w.checkDeadlines()
	return true
}

func (w *simulation) step(event Event) {
	switch event := event.(type) {
	case Arrived:
		w.requests[event.Request.ID] = &trackedRequest{request: event.Request}
		if w.chance(10) {
			w.after(3*time.Second, CallerGone{ID: event.Request.ID})
		}
	case CallerGone:
		w.requests[event.ID].gone = true
	case ClaimReplied:
		if event.New {
			w.requests[event.ID].claimedRunner = event.Claim.Runner
		}
	case RunnerLeaving:
		w.leaving[event.Runner] = true
	case TokenReceived:
		if !w.execute(event.Attempt) {
			return
		}
	case ForwardFailed:
		w.requests[event.ID].terminals--
	case OfferTaken:
		taken := w.requests[event.ID]
		if taken.terminals == 0 && !taken.gone {
			w.recordEnd(event.ID, "taken")
		}
	}
	effects := slices.Clone(w.core.Step(w.now, event))
	for _, effect := range effects {
		fmt.Fprintf(&w.trace, "%d %T %+v\n", w.now.UnixNano(), effect, effect)
		w.applyEffect(effect)
	}
	w.checkOffered(event)
	w.checkNoDelay(event, effects)
}

// checkOffered checks that a request offered by another zone is not queued.
func (w *simulation) checkOffered(event Event) {
	arrived, isArrival := event.(Arrived)
	if !isArrival || !arrived.Request.IfReady {
		return
	}
	id := arrived.Request.ID
	if w.attempts[AttemptID(id)+".1"] == nil && w.requests[id].terminals == 0 {
		w.violate("offered", "%s was queued", id)
	}
}

// execute starts the attempt at the engine when its first token is due.
func (w *simulation) execute(id AttemptID) bool {
	attempt := w.attempts[id]
	if attempt.executed {
		return true
	}
	if attempt.fenced {
		return false
	}
	attempt.executed = true
	w.executions[string(attempt.request.request.ID)]++
	if request := attempt.request.request; !request.Repeatable() {
		w.executions[string(claimKey(request))]++
	}
	return true
}

func (w *simulation) applyEffect(effect Effect) {
	switch effect := effect.(type) {
	case SendAttempt:
		w.sendAttempt(effect)
	case CancelAttempt:
		w.attempts[effect.Attempt].fenced = w.chance(80)
	case AskStatus:
		w.askStatus(effect)
	case BeginClaim:
		w.beginClaim(effect)
	case FinishClaim:
		w.finishClaim(effect)
	case FetchAnswer:
		w.fetchAnswer(effect)
	case *Deliver:
		w.checkToken(effect)
	case Finish:
		w.recordEnd(effect.ID, "finish")
		done := w.requests[effect.ID]
		if done.delivered != answerTokens {
			w.violate("answer", "%s finished after %d tokens", effect.ID, done.delivered)
		}
		if !done.request.Repeatable() && !done.answerKept {
			w.violate("stored-answer", "%s finished before its answer was stored", effect.ID)
		}
	case Replay:
		w.recordEnd(effect.ID, "replay")
		w.checkAnswer(w.requests[effect.ID], effect.Answer)
	case Reject:
		w.checkRejection(effect)
	case Offer:
		w.offer(effect)
	case Forward:
		w.recordEnd(effect.ID, "forward")
		if w.chance(30) {
			w.after(time.Second, ForwardFailed{ID: effect.ID, Row: "row", Stage: NotSent})
		}
	}
}

// offer makes the other zone accept the request, reject it or time out, possibly after
// running it.
func (w *simulation) offer(effect Offer) {
	if w.requests[effect.ID].request.Forwarded || !w.requests[effect.ID].request.Repeatable() {
		w.violate("offer", "%s may not be offered", effect.ID)
	}
	switch draw := w.random.IntN(16); {
	case draw < 12:
		w.after(effect.Budget, OfferTaken{ID: effect.ID, Zone: effect.Zones[0]})
	case draw < 14:
		w.executions[string(effect.ID)]++
		w.after(effect.Budget, OfferFailed{ID: effect.ID, TimedOut: effect.Zones[:1], MayHaveRun: true})
	default:
		w.after(effect.Budget, OfferFailed{ID: effect.ID, Rejected: effect.Zones})
	}
}

func (w *simulation) recordEnd(id structs.RequestID, kind string) {
	w.ends[kind]++
	w.requests[id].terminals++
	if w.requests[id].terminals > 1 {
		w.violate("terminal", "%s ended twice", id)
	}
}

func (w *simulation) checkRejection(reject Reject) {
	w.recordEnd(reject.ID, "refuse "+string(reject.Rejection.Execution))
	problem := reject.Rejection.Error
	if reject.Rejection.Execution == structs.ExecutionNotRun {
		w.requests[reject.ID].notRun = true
	}
	useless := problem.Kind == structs.ErrorNotFound || problem.Kind == structs.ErrorInvalid || reject.Rejection.Execution == structs.ExecutionUnknown ||
		reject.Rejection.Execution == structs.ExecutionDone && strings.Contains(problem.Message, "no longer kept")
	if problem.RetryAfter <= 0 && !useless {
		w.violate("retry-after", "%s: %s without RetryAfter", reject.ID, problem.Message)
	}
	if problem.Remedy == "" {
		w.violate("remedy", "%s: %s without remedy", reject.ID, problem.Message)
	}
}

func (w *simulation) checkToken(deliver *Deliver) {
	target := w.requests[deliver.ID]
	want := tokenText(target.request.Prompt, target.delivered)
	if deliver.Token.Index != target.delivered || deliver.Token.Text != want || deliver.Token.ID != deliver.ID || target.gone || target.terminals > 0 {
		w.violate("answer", "%s: token %+v instead of %q", deliver.ID, deliver.Token, want)
	}
	target.delivered++
}

func (w *simulation) checkAnswer(target *trackedRequest, encoded []byte) {
	answer, err := DecodeAnswer(encoded)
	want := ""
	for index := range answerTokens {
		want += tokenText(target.request.Prompt, index)
	}
	if err != nil || answer.Text != want {
		w.violate("stored-answer", "%s: stored answer %q (%v)", target.request.ID, answer.Text, err)
	}
}

func (w *simulation) checkDeadlines() {
	for id, target := range w.requests {
		if target.terminals == 0 && !target.gone && !target.request.DeadlineAt.After(w.now) {
			w.violate("deadline", "%s was not ended at its deadline", id)
		}
	}
}

func (w *simulation) checkEnd() {
	for id, target := range w.requests {
		if target.terminals == 0 && !target.gone {
			w.violate("terminal", "%s was not ended", id)
		}
		if target.notRun && w.executions[string(id)] > 0 {
			w.violate("not-run", "%s ran although not_run", id)
		}
		if key := string(claimKey(target.request)); !target.request.Repeatable() && w.executions[key] > 1 {
			w.violate("executions", "key %s ran %d times", key, w.executions[key])
		}
	}
	for key, claim := range w.claims {
		if claim.State == structs.ClaimHeld {
			w.violate("leak", "the claim on %s by %s was never ended", key, claim.Request)
		}
	}
	if !w.core.Idle() {
		w.violate("idle", "the core holds requests at the end: %+v", w.core.Stats())
	}
}

// testView returns a view with the rows on the given number of runners, and a row "cold"
// without replicas.
func testView(runners int, rows ...structs.RowName) structs.ZoneView {
	view := structs.ZoneView{Index: 1, Table: structs.TableDelta{Full: true, Revision: 1}, Placement: &structs.Placement{}}
	for _, name := range append([]structs.RowName{"cold"}, rows...) {
		view.Table.Rows = append(view.Table.Rows, structs.Row{Name: name, MaxReplicas: 4})
		view.Table.Grants = append(view.Table.Grants, structs.Grant{Row: name, Zone: "a", Limit: 4, Sequence: 1})
	}
	for number := range runners {
		id := structs.RunnerID(fmt.Sprintf("runner-%d", number))
		view.Placement.Runners = append(view.Placement.Runners, structs.RunnerInfo{ID: id, Address: "127.0.0.1:1", Incarnation: 7})
		for _, name := range rows {
			view.Placement.Replicas = append(view.Placement.Replicas, structs.Replica{Row: name, Runner: id, Incarnation: 7, State: structs.ReplicaReady})
		}
	}
	return view
}
