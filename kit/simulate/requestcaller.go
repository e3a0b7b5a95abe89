package simulate

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// arrivalMean is the mean time between arrivals at regular load.
	arrivalMean = 180 * time.Millisecond
	// submissionLimit bounds the submissions of a request.
	submissionLimit = 4
	// reconnectDelay is the pause before a caller tries another router.
	reconnectDelay = 150 * time.Millisecond
	// brokenDelay is the pause of a caller after a broken answer.
	brokenDelay = 250 * time.Millisecond
	// connectTimeout is how long a caller tries to find a listening router.
	connectTimeout = 10 * time.Second

	keyedShare  = 0.45
	goneShare   = 0.08
	resendShare = 0.25
	afterShare  = 0.2
	batchShare  = 0.3
	liveShare   = 0.3
	sharedShare = 0.3
	minTokens   = 6
	tokenSpread = 24
	minDeadline = 2 * time.Second
	maxDeadline = 16 * time.Second
)

// callerAddress is the network address of all callers.
const callerAddress Address = "callers"

// requestCaller is a caller with one request, which it sends until it has the
// answer, its time limit expires, or it disconnects.
type requestCaller struct {
	site   *requestSite
	number int
	zone   structs.ZoneID
	name   string
	row    structs.RowName
	prompt string
	key    string

	maxTokens   int
	priority    structs.Priority
	timeLimit   time.Duration
	submissions []*submission
	gone        bool
	satisfied   bool
}

// submission is one attempt of a caller to send its request, with the response.
type submission struct {
	caller     *requestCaller
	number     int
	prompt     string
	router     structs.DaemonID
	link       *connection
	sentAt     time.Duration
	deadlineAt time.Duration
	text       strings.Builder
	tokens     int
	// ending is how the submission ended; empty while it is open.
	ending  string
	refusal *structs.Rejection
	// decidedAt is when a router refused it, answeredAt when it said so.
	decidedAt time.Duration
	// afterEnd is set if the caller already had the complete answer.
	afterEnd bool
	// stopping is set if its router began a planned stop meanwhile.
	stopping bool
	// requests holds its request IDs on routers.
	requests []structs.RequestID
}

// The endings of a submission.
const (
	endingWhole   = "whole"
	endingReplay  = "replay"
	endingRefused = "refused"
	endingBroken  = "broken"
	endingGone    = "gone"
)

func (s *submission) name() string {
	return fmt.Sprintf("caller-%d/%d", s.caller.number, s.number)
}

// scheduleArrival schedules the next caller.
func (s *requestSite) scheduleArrival() {
	mean := float64(arrivalMean) / s.load
	s.scheduler.After(time.Duration(s.random.ExpFloat64()*mean)+1, func() {
		if s.scheduler.Now() >= s.loadEnd {
			return
		}
		s.newCaller(s.drawPriority())
		for extra := s.batchLoad - 1; extra > 0; extra-- {
			s.newCaller(structs.PriorityBatch)
		}
		s.scheduleArrival()
	})
}

func (s *requestSite) drawPriority() structs.Priority {
	switch draw := s.random.Float64(); {
	case draw < batchShare:
		return structs.PriorityBatch
	case draw < batchShare+liveShare:
		return structs.PriorityLive
	}
	return structs.PriorityStandard
}

func (s *requestSite) newCaller(priority structs.Priority) {
	number := len(s.callers)
	caller := &requestCaller{
		site:      s,
		number:    number,
		zone:      requestZones[s.random.IntN(len(requestZones))],
		name:      fmt.Sprintf("member-%d", s.random.IntN(requestCallersPerZone)),
		row:       s.rows[s.random.IntN(len(s.rows))],
		maxTokens: minTokens + s.random.IntN(tokenSpread),
		priority:  priority,
		timeLimit: s.between(minDeadline, maxDeadline),
	}
	caller.prompt = fmt.Sprintf("work %d of %s", number, caller.name)
	if s.chance(sharedShare) {
		caller.prompt = strings.Repeat("the same long introduction ", 4) + caller.prompt
	}
	if s.chance(keyedShare) {
		caller.key = s.drawKey(number)
	}
	s.callers = append(s.callers, caller)
	caller.submit()
	if caller.key != "" && s.chance(resendShare) {
		s.scheduler.After(s.between(time.Millisecond, caller.timeLimit), caller.resend)
	}
	if s.chance(goneShare) {
		s.scheduler.After(s.between(time.Millisecond, caller.timeLimit), caller.disconnect)
	}
}

// drawKey returns an idempotency key. Some name their home zone, and callers of
// different names share keys.
func (s *requestSite) drawKey(number int) string {
	key := fmt.Sprintf("key-%d", number)
	if s.chance(0.5) {
		key = string(requestZones[s.random.IntN(len(requestZones))]) + ":" + key
	}
	return key
}

// resend sends the request again to a router of any zone, even if an earlier
// submission is in progress.
func (c *requestCaller) resend() {
	if c.gone || len(c.submissions) >= submissionLimit {
		return
	}
	c.submitTo(c.site.routers[c.site.random.IntN(len(c.site.routers))])
}

// submit sends the request to a router of the caller's zone.
func (c *requestCaller) submit() {
	routers := c.site.routersOf(c.zone)
	c.submitTo(routers[c.site.random.IntN(len(routers))])
}

func (c *requestCaller) submitTo(chosen *routerHost) {
	if c.gone || c.satisfied || len(c.submissions) >= submissionLimit {
		return
	}
	if !chosen.listening() || chosen.drain {
		if c.site.scheduler.Now() < c.site.loadEnd+connectTimeout {
			c.site.scheduler.After(reconnectDelay, c.submit)
		}
		return
	}
	c.send(chosen)
}

// send makes a submission to a router.
func (c *requestCaller) send(chosen *routerHost) *submission {
	now := c.site.scheduler.Now()
	made := &submission{caller: c, number: len(c.submissions) + 1, router: chosen.id, sentAt: now, deadlineAt: now + c.timeLimit}
	made.prompt = c.prompt
	c.submissions = append(c.submissions, made)
	c.site.submitted++
	c.site.trace.Event("submit", made.name(), string(chosen.id))
	made.link = newConnection(c.site.network, callerAddress, chosen.address())
	made.link.down.end = connectionEnd{
		receive: made.receive,
		ended:   func() { made.end(endingBroken) },
	}
	made.link.up.end.receive = func(any) { made.deliver(chosen) }
	made.link.up.send(made.number)
	c.site.scheduler.At(made.deadlineAt+terminalBound, func() { c.site.records.due(made) })
	return made
}

// deliver passes the request to the router, or closes the connection if the router is
// down.
func (s *submission) deliver(chosen *routerHost) {
	if chosen.core == nil {
		s.link.closeServer()
		return
	}
	caller := s.caller
	chosen.accept(s.link, structs.Request{
		Row: caller.row, Prompt: s.prompt, MaxTokens: caller.maxTokens, Priority: caller.priority,
		Caller: caller.name, DeadlineAt: epochStart.Add(s.deadlineAt), IdempotencyKey: caller.key,
	}, s)
}

func (s *submission) receive(message any) {
	switch content := message.(type) {
	case structs.Token:
		s.handleToken(content)
	case terminal:
		s.handleTerminal(content)
	}
}

func (s *submission) handleToken(token structs.Token) {
	want := emulator.ExpectedToken(s.caller.row, s.prompt, s.tokens)
	padding := token.Finish != "" && token.Text == ""
	if token.Text != want && !padding {
		s.caller.site.judge.Report(checkerAnswer, "%s got %.40q as token %d instead of %q", s.name(), token.Text, s.tokens, want)
	}
	s.text.WriteString(token.Text)
	s.tokens++
}

func (s *submission) handleTerminal(ending terminal) {
	if s.ending != "" {
		s.caller.site.judge.Report(checkerTerminal, "%s ended twice: %s, then again", s.name(), s.ending)
		return
	}
	switch {
	case ending.refusal != nil:
		s.refusal = ending.refusal
		s.end(endingRefused)
	case ending.replay != nil:
		s.text.Reset()
		s.text.WriteString(ending.replay.Text)
		s.checkWhole(ending.finish)
		s.end(endingReplay)
	default:
		s.checkWhole(ending.finish)
		s.end(endingWhole)
	}
}

// checkWhole checks that a complete answer equals the emulator's expected one.
func (s *submission) checkWhole(finish structs.FinishReason) {
	caller := s.caller
	var want strings.Builder
	for index := range emulator.ExpectedLength(caller.row, s.prompt, caller.maxTokens) {
		want.WriteString(emulator.ExpectedToken(caller.row, s.prompt, index))
	}
	wantFinish := emulator.ExpectedFinish(caller.row, s.prompt, caller.maxTokens)
	if s.text.String() != want.String() || finish != wantFinish {
		caller.site.judge.Report(checkerAnswer, "%s got %.60q (%s) instead of %.60q (%s)",
			s.name(), s.text.String(), finish, want.String(), wantFinish)
	}
}

func (s *submission) end(how string) {
	if s.ending != "" {
		return
	}
	s.ending = how
	s.caller.site.records.ended(s)
	s.caller.retryIfNeeded(s)
}

// retryIfNeeded resends the request if its ending calls for it.
func (c *requestCaller) retryIfNeeded(ended *submission) {
	delay := brokenDelay
	switch ended.ending {
	case endingWhole, endingReplay:
		c.satisfied = true
		if ended.ending == endingWhole && c.key != "" && c.site.chance(afterShare) {
			wait := time.Duration(0)
			if c.site.chance(0.5) {
				wait = c.site.between(time.Millisecond, lateResend)
			}
			c.site.scheduler.After(wait, c.resendAfterEnd)
		}
		return
	case endingGone:
		return
	case endingRefused:
		delay = ended.refusal.Error.RetryAfter
		if delay <= 0 {
			return
		}
	}
	c.site.scheduler.After(delay, func() {
		if c.site.scheduler.Now() < c.site.loadEnd+connectTimeout {
			c.submit()
		}
	})
}

// disconnect closes the connections of a caller that gives up.
func (c *requestCaller) disconnect() {
	c.gone = true
	for _, open := range c.submissions {
		if open.ending == "" {
			open.link.closeClient()
			open.end(endingGone)
		}
	}
}
