package controller

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// apply commits claim operations; the leader may crash before or after it.
func (m *claimModel) apply(z *claimZone, operations ...zone.ClaimOperation) (zone.Result, bool) {
	if m.now.Before(z.leaderlessUntil) || m.chance(40) {
		return zone.Result{}, false
	}
	batch := &zone.ClaimBatchCommand{At: m.now, Operations: operations}
	result := z.state.Apply(z.state.Index()+1, zone.Command{ClaimBatch: batch})
	return result.Batch[0], !m.chance(40)
}

func (m *claimModel) begin(r *claimRouter, effect router.BeginClaim) {
	claim := effect.Claim
	home := m.zones[claim.Home]
	operation := zone.ClaimOperation{Begin: &zone.ClaimBeginCommand{
		Key: claim.Key, Request: claim.Request, Digest: claim.Digest, Holder: claim.Holder, Session: claim.Session,
		Attempt: effect.Choice, Runner: claim.Runner, Incarnation: claim.Incarnation,
		Address: claim.Address, EngineRequest: claim.EngineRequest, HolderAddress: claim.HolderAddress,
	}}
	answered := false
	r.open[effect.ID] = home.id
	reply := func(event router.ClaimReplied) func() {
		return m.inSession(r, func() {
			if !answered {
				answered = true
				if event.Error == nil && !event.New {
					delete(r.open, effect.ID)
				}
				m.step(r, event)
			}
		})
	}
	m.send(r.zone, home.id, func() {
		home.renewed[claim.Request] = m.now
		if result, ok := m.apply(home, operation); ok {
			m.send(home.id, r.zone, reply(router.ClaimReplied{ID: effect.ID, Claim: result.Claim, New: result.ClaimNew, Error: result.Error}))
		}
	})
	lost := structs.NewError(structs.ErrorUnavailable, "no reply", "Retry the request.")
	m.schedule(4*time.Second, reply(router.ClaimReplied{ID: effect.ID, Error: lost}))
}

// fetch asks the holder for its answer; request or reply may be lost.
func (m *claimModel) fetch(r *claimRouter, effect router.FetchAnswer) {
	answered := false
	reply := func(event router.AnswerFetched) func() {
		return m.inSession(r, func() {
			if !answered {
				answered = true
				m.step(r, event)
			}
		})
	}
	for _, holder := range m.routers {
		if holder.id == effect.Claim.Holder {
			m.send(r.zone, holder.zone, m.inSession(holder, func() {
				m.send(holder.zone, r.zone, reply(router.AnswerFetched{ID: effect.ID, Answer: holder.savedAnswers[effect.Claim.Key]}))
			}))
		}
	}
	m.schedule(time.Second, reply(router.AnswerFetched{ID: effect.ID, Unreachable: true}))
}

func (m *claimModel) finish(r *claimRouter, effect router.FinishClaim) {
	claim := effect.Claim
	if len(effect.Answer) > 0 {
		r.savedAnswers[claim.Key] = effect.Answer
	}
	home := m.zones[claim.Home]
	operation := zone.ClaimOperation{Finish: &zone.ClaimFinishCommand{
		Key: claim.Key, Request: claim.Request, State: claim.State, NotRun: claim.State == structs.ClaimReleased,
		AnswerBytes: claim.Answer.Bytes, AnswerHash: claim.Answer.Hash, ExpiresAt: claim.ExpiresAt,
	}}
	done := false
	var try func()
	try = m.inSession(r, func() {
		if done {
			return
		}
		m.send(r.zone, home.id, func() {
			if _, ok := m.apply(home, operation); ok {
				m.send(home.id, r.zone, m.inSession(r, func() {
					done = true
					delete(r.open, effect.ID)
				}))
			}
		})
		m.schedule(time.Second, try)
	})
	try()
}

func (m *claimModel) renew() {
	for _, r := range m.routers {
		if m.now.Before(r.pausedUntil) || m.now.Before(r.renewalsLostUntil) {
			continue
		}
		for _, request := range slices.Sorted(maps.Keys(r.open)) {
			z := m.zones[r.open[request]]
			m.send(r.zone, z.id, func() { z.renewed[request] = m.now })
		}
	}
}

// attempt sends a request to its engine, which starts and finishes it after random delays.
func (m *claimModel) attempt(r *claimRouter, effect router.SendAttempt) {
	e := m.engines[effect.Address]
	fail := func(stage router.FailureStage) {
		m.send(e.zone, r.zone, m.inSession(r, func() { m.step(r, router.AttemptFailed{Attempt: effect.Attempt, Stage: stage}) }))
	}
	m.send(r.zone, e.zone, func() {
		run := e.records[effect.Generate.ID]
		if e.incarnation != effect.Incarnation || (run != nil && run.fenced) {
			fail(router.RejectedByEngine)
			return
		}
		if run != nil {
			return
		}
		run = &claimRun{}
		e.records[effect.Generate.ID] = run
		m.schedule(m.randomDuration(2*time.Second), func() { m.execute(r, e, run, effect) })
	})
	// The router gives up on a silent engine.
	m.schedule(5*time.Second, m.inSession(r, func() { m.step(r, router.AttemptFailed{Attempt: effect.Attempt, Stage: router.Broken}) }))
}

func (m *claimModel) execute(r *claimRouter, e *claimEngine, run *claimRun, effect router.SendAttempt) {
	if run.fenced || e.incarnation != effect.Incarnation {
		return
	}
	run.started = true
	m.executions[effect.Attempt.Request()]++
	m.byKey[m.key[effect.Attempt.Request()]]++
	m.schedule(m.randomDuration(3*time.Second), func() {
		run.finished = true
		token := structs.Token{ID: effect.Generate.ID, Text: effect.Generate.Prompt, Finish: structs.FinishStop}
		m.send(e.zone, r.zone, m.inSession(r, func() { m.step(r, router.TokenReceived{Attempt: effect.Attempt, Token: token}) }))
	})
}

// restart restarts an engine, which then knows no request.
func (m *claimModel) restart(e *claimEngine) {
	e.incarnation++
	e.records = map[structs.RequestID]*claimRun{}
	for _, r := range m.routers {
		m.schedule(m.randomDuration(time.Second), m.inSession(r, func() { m.sendView(r) }))
	}
}

// status returns the engine's status of a request; with fence set, the engine rejects the
// request from then on.
func (e *claimEngine) status(id structs.RequestID, fence bool) structs.RequestStatus {
	status := structs.RequestStatus{ID: id, State: structs.RunUnknown, Incarnation: e.incarnation}
	run := e.records[id]
	if run == nil {
		if fence {
			e.records[id] = &claimRun{fenced: true}
		}
		return status
	}
	run.fenced = run.fenced || fence
	status.Started = run.started
	switch {
	case run.finished:
		status.State = structs.RunFinished
	case run.fenced:
		status.State = structs.RunCancelled
	default:
		status.State = structs.RunQueued
	}
	return status
}

func (m *claimModel) ask(r *claimRouter, effect router.AskStatus) {
	e := m.engines[effect.Address]
	m.send(r.zone, e.zone, func() {
		status := e.status(structs.RequestID(effect.Attempt), !effect.Peek)
		m.send(e.zone, r.zone, m.inSession(r, func() {
			m.step(r, router.StatusReplied{ID: effect.ID, Attempt: effect.Attempt, Status: &status, Peek: effect.Peek})
		}))
	})
	lost := structs.NewError(structs.ErrorUnavailable, "no reply", "Ask again.")
	m.schedule(2*time.Second, m.inSession(r, func() {
		m.step(r, router.StatusReplied{ID: effect.ID, Attempt: effect.Attempt, Error: lost, Peek: effect.Peek})
	}))
}

// decide runs one round of a zone's leader, which may crash between any two steps.
func (m *claimModel) decide(z *claimZone) {
	if m.now.Before(z.leaderlessUntil) {
		return
	}
	epoch := z.epoch
	decisions := z.core.Decide(Input{Now: m.now, Epoch: z.epoch, LeaseValid: true, State: z.state, Renewed: z.renewed})
	for _, inquiry := range decisions.Inquiries {
		m.inquire(z, epoch, inquiry)
	}
	for _, command := range decisions.Commands {
		if m.chance(20) {
			m.startLeader(z)
			return
		}
		if m.fault == claimFaultNoChoiceGuard && command.ClaimFinish != nil {
			command.ClaimFinish.Resolve = false
		}
		// The command is applied to a later state than it was decided on.
		m.schedule(m.randomDuration(5*time.Second), func() {
			if command.ClaimFinish != nil && !m.now.Before(z.leaderlessUntil) {
				if result := z.state.Apply(z.state.Index()+1, command); result.Error == nil {
					m.counts["resolved "+string(command.ClaimFinish.State)]++
				}
			}
		})
	}
}

func (m *claimModel) inquire(z *claimZone, epoch structs.Epoch, inquiry Inquiry) {
	e := m.engines[inquiry.Address]
	m.send(z.id, e.zone, func() {
		status := e.status(inquiry.Request, m.fault != claimFaultNoFence)
		if m.fault == claimFaultTrustNewIncarnation {
			status.Incarnation = 1
		}
		m.send(e.zone, z.id, func() {
			if z.epoch == epoch {
				z.core.ObserveInquiry(InquiryReply{Inquiry: inquiry, Status: status})
			}
		})
	})
}

// Guards against running a key twice after its holder crashed. It also checks that the runs
// reach every kind of outcome and resolution.
func TestHolderDeathNeverRunsAKeyTwice(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	const seeds = 150
	for seed := range uint64(seeds) {
		m := newClaimModel(seed, claimFaultNone)
		m.run()
		c.Assert(m.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for kind, count := range m.counts {
			counts[kind] += count
		}
	}
	for _, kind := range []string{"finish", "replay", "not_run", "outcome_unknown", "resolved ", "resolved outcome_unknown"} {
		c.Check(counts[kind] > seeds/2, qt.IsTrue, qt.Commentf("%s: %d", kind, counts[kind]))
	}
	t.Logf("over %d seeds: %v", seeds, counts)
}

func TestClaimModelNoticesMissingSafeguards(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault claimFault
	}{
		{"inquiry without a fence", claimFaultNoFence},
		{"resolution ends a later choice", claimFaultNoChoiceGuard},
		{"status of a later incarnation is trusted", claimFaultTrustNewIncarnation},
		{"every zone is home to every key", claimFaultManyHomes},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 150 && !found; seed++ {
				m := newClaimModel(seed, test.fault)
				m.run()
				found = slices.ContainsFunc(m.violations, func(violation string) bool { return strings.Contains(violation, " ran ") })
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}
