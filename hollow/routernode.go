package hollow

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// routerTick and demandPause are those of the daemon.
	routerTick  = 20 * time.Millisecond
	demandPause = 25 * time.Millisecond
	// claimRetry separates tries to record the end of a claim.
	claimRetry = 200 * time.Millisecond
	// routerAddress has the length of a router's address; nobody calls it.
	routerAddress = "10.20.1.107:7402"
)

// routerNode is the router of one process: a real router.Core in virtual time.
type routerNode struct {
	owner *process
	core  *router.Core
	// keepsAll says that the whole table is kept, not only the rows in use.
	keepsAll   bool
	sinceTable uint64
	reader     *router.ViewReader
	// disk is the view on the process's disk, which a restart leaves there.
	disk *router.ViewCopy
	// relay is the router\'s part in reading engine reports.
	relay       *controller.ReportRelay
	nextMember  int
	leaderGuess int
	requests    map[structs.RequestID]*callRecord
	attempts    map[router.AttemptID]*runnerNode
	schedule    *router.DemandSchedule
	reportedAt  int64
	reportDue   bool
	reporting   bool
	draining    bool
	token       router.TokenReceived
}

func (s *site) openRouters() {
	for _, home := range s.zones {
		for index, owner := range home.processes {
			if owner.isControl {
				continue
			}
			added := &routerNode{owner: owner, keepsAll: len(home.routers) < s.options.FullTableRouters}
			added.leaderGuess = index % len(home.voters)
			owner.router = added
			home.routers = append(home.routers, added)
			added.open()
		}
		home.after(routerTick, home.tickRouters)
	}
}

// open starts an empty router in its process's current life.
func (r *routerNode) open() {
	home := r.owner.zone
	r.core = router.New(router.Options{
		Zone:    home.id,
		Daemon:  r.owner.id,
		Address: routerAddress,
		Zones:   home.site.zoneIDs(),
		Random:  rand.New(rand.NewPCG(home.site.options.Seed, uint64(r.owner.index)<<16|uint64(r.owner.life))),
	})
	r.requests = map[structs.RequestID]*callRecord{}
	r.attempts = map[router.AttemptID]*runnerNode{}
	r.loadDisk()
	r.schedule = router.NewDemandSchedule(defaultTiming().ReportInterval)
	r.draining, r.reportDue, r.reporting = false, false, false
	life := r.owner.life
	r.relay = controller.NewReportRelay(r.owner.id, defaultTiming().ReportInterval)
	home.after(0, func() { r.poll(life) })
	home.after(0, func() { r.relayLoop(life, 0) })
	home.after(defaultTiming().ReportInterval, func() { r.reportLoop(life) })
}

func (r *routerNode) current(life int) bool { return r.owner.alive && r.owner.life == life }

// tickRouters lets time pass for all routers of the zone.
func (z *zoneSite) tickRouters() {
	for _, node := range z.routers {
		if node.owner.alive {
			node.stepAs(partRouterTick, router.Tick{})
		}
	}
	z.after(routerTick, z.tickRouters)
}

func (r *routerNode) step(event router.Event) { r.stepAs(partRouterRequest, event) }

// stepAs hands an event to the core and carries out the effects. Nothing that
// they start calls the core before the loop has ended.
func (r *routerNode) stepAs(which part, event router.Event) {
	home := r.owner.zone
	var effects []router.Effect
	home.cost.sample(which, func() { effects = r.core.Step(home.time(), event) })
	for _, effect := range effects {
		r.carryOut(effect)
	}
	if r.core.DemandUrgent() {
		r.reportSoon()
	}
}

func (r *routerNode) takeToken(attempt router.AttemptID, token structs.Token) {
	r.token = router.TokenReceived{Attempt: attempt, Token: token}
	r.stepAs(partRouterToken, &r.token)
}

func (r *routerNode) carryOut(effect router.Effect) {
	home := r.owner.zone
	switch effect := effect.(type) {
	case *router.Deliver:
		if record := r.requests[effect.ID]; record != nil {
			record.take(home, effect.Token)
			return
		}
		home.violate("request", "%s delivered a token of %s, which has ended", r.owner.id, effect.ID)
	case router.Finish:
		r.end(effect.ID, outcomeAnswered, nil)
	case router.Replay:
		r.end(effect.ID, outcomeReplayed, nil)
	case router.Refuse:
		r.end(effect.ID, outcomeRefused, &effect.Refusal)
	case router.SendAttempt:
		r.sendAttempt(effect)
	case router.CancelAttempt:
		r.cancelAttempt(effect.Attempt)
	case router.AskStatus:
		r.askStatus(effect)
	case router.BeginClaim:
		r.beginClaim(effect)
	case router.FinishClaim:
		r.finishClaim(effect)
	case router.FetchAnswer:
		r.fetchAnswer(effect)
	case router.Forward:
		r.forward(effect)
	case router.Offer:
		r.offer(effect)
	}
}

func (r *routerNode) end(id structs.RequestID, result outcome, refusal *structs.Refusal) {
	record := r.requests[id]
	if record == nil {
		r.owner.zone.violate("request", "%s ended %s twice", r.owner.id, id)
		return
	}
	delete(r.requests, id)
	if record.returned != nil && result == outcomeRefused {
		record.returned()
		r.owner.zone.load.open--
		return
	}
	record.end(r.owner.zone, result, refusal)
}

func (r *routerNode) sendAttempt(send router.SendAttempt) {
	target := r.owner.zone.byID[send.Runner]
	life := r.owner.life
	r.attempts[send.Attempt] = target
	r.owner.zone.after(delayInZone, func() { target.generate(r, life, send) })
}

// refused ends an attempt that did not reach its engine.
func (r *routerNode) refused(life int, attempt router.AttemptID) {
	if !r.current(life) {
		return
	}
	delete(r.attempts, attempt)
	r.step(router.AttemptFailed{Attempt: attempt, Stage: router.NotSent, Error: brokenError()})
}

// cancelAttempt ends the attempt at its engine.
func (r *routerNode) cancelAttempt(attempt router.AttemptID) {
	target := r.attempts[attempt]
	if target == nil {
		return
	}
	delete(r.attempts, attempt)
	r.owner.zone.after(delayInZone, func() {
		target.step(emulator.EngineInput{Kind: emulator.InputStatus, ID: structs.RequestID(attempt), Cancel: true})
	})
}

// askStatus fences an attempt at its engine and reports what the engine knows.
func (r *routerNode) askStatus(ask router.AskStatus) {
	home, life := r.owner.zone, r.owner.life
	target := home.byID[ask.Runner]
	home.after(delayInZone, func() {
		reply := router.StatusReplied{ID: ask.ID, Attempt: ask.Attempt, Error: brokenError()}
		input := emulator.EngineInput{Kind: emulator.InputStatus, ID: structs.RequestID(ask.Attempt), Cancel: true}
		for _, output := range target.step(input) {
			if output.Kind == emulator.OutputStatus {
				reply.Status, reply.Error = output.Status, nil
			}
		}
		home.after(delayInZone, func() {
			if r.current(life) {
				r.step(reply)
			}
		})
	})
}

// beginClaim holds a claim in the zone log.
func (r *routerNode) beginClaim(effect router.BeginClaim) {
	claim := effect.Claim
	life := r.owner.life
	if claim.Home != r.owner.zone.id {
		// Zones of the hollow site run apart; a router reaches its own group only.
		problem := structs.NewError(structs.ErrorUnavailable, "the home zone of the key is not reached from here", "Send it to the home zone.")
		r.owner.zone.after(delayInZone, func() {
			if r.current(life) {
				r.step(router.ClaimReplied{ID: effect.ID, Error: problem, NotAsked: true})
			}
		})
		return
	}
	command := zone.Command{ClaimBegin: &zone.ClaimBeginCommand{
		Key: claim.Key, Request: claim.Request, Digest: claim.Digest, Holder: claim.Holder,
		Attempt: effect.Choice, HolderAddress: claim.HolderAddress, Runner: claim.Runner, Incarnation: claim.Incarnation,
		Address: claim.Address, EngineRequest: claim.EngineRequest,
	}}
	r.proposeZone(trafficClaim, command, func(result zone.Result, err *structs.Error) {
		if !r.current(life) {
			return
		}
		if err == nil {
			err = result.Error
		}
		r.step(router.ClaimReplied{ID: effect.ID, Claim: result.Claim, New: result.ClaimNew, Error: err})
	})
}

// fetchAnswer says that no answer is kept: no caller of the hollow site sends a
// request twice.
func (r *routerNode) fetchAnswer(effect router.FetchAnswer) {
	r.owner.zone.violate("request", "%s looks for the answer to %s, which was sent once", r.owner.id, effect.ID)
	life := r.owner.life
	r.owner.zone.after(delayInZone, func() {
		if r.current(life) {
			r.step(router.AnswerFetched{ID: effect.ID})
		}
	})
}

// finishClaim records the end of a claim and repeats it until the zone has it.
func (r *routerNode) finishClaim(effect router.FinishClaim) {
	claim := effect.Claim
	if claim.Home != r.owner.zone.id {
		return
	}
	life := r.owner.life
	command := zone.Command{ClaimFinish: &zone.ClaimFinishCommand{
		Key: claim.Key, Request: claim.Request, State: claim.State, NotRun: claim.State == structs.ClaimReleased,
		AnswerBytes: claim.Answer.Bytes, AnswerHash: claim.Answer.Hash, ExpiresAt: claim.ExpiresAt,
	}}
	r.proposeZone(trafficClaim, command, func(_ zone.Result, err *structs.Error) {
		if err == nil || !r.current(life) {
			return
		}
		r.owner.zone.after(claimRetry, func() {
			if r.current(life) {
				r.finishClaim(effect)
			}
		})
	})
}

// reportLoop reports the demand at each interval.
func (r *routerNode) reportLoop(life int) {
	if !r.current(life) {
		return
	}
	interval := defaultTiming().ReportInterval
	if r.owner.zone.now-r.reportedAt >= int64(interval) {
		r.reportDemand()
	}
	r.owner.zone.after(interval, func() { r.reportLoop(life) })
}

// reportSoon reports the demand because a request waits for a row without a replica.
func (r *routerNode) reportSoon() {
	if r.reportDue {
		return
	}
	r.reportDue = true
	home, life := r.owner.zone, r.owner.life
	home.at(r.reportedAt+int64(demandPause), func() {
		if r.current(life) {
			r.reportDue = false
			r.reportDemand()
		}
	})
}

// reportDemand sends the report that is due, one at a time as the daemon does.
func (r *routerNode) reportDemand() {
	home, life := r.owner.zone, r.owner.life
	if r.reporting {
		return
	}
	r.reportedAt = home.now
	at := home.time()
	scope := r.schedule.Next(at)
	var report structs.DemandReport
	var send bool
	home.cost.sample(partRouterDemand, func() { report, send = r.core.DemandOf(scope) })
	if !send {
		r.schedule.Skipped(at, scope)
		return
	}
	r.reporting = true
	bytes := home.sizer.call(methodZoneDemand, daemon.DemandArguments{Report: report})
	r.askLeader(trafficDemand, bytes, home.now+int64(callTimeout), func(m *zoneMember, answer answerFunc, _ func()) {
		epoch := structs.Epoch(m.node.Term())
		m.takeDemand(report)
		answer(home.sizer.reply(methodZoneDemand, daemon.DemandReply{Epoch: epoch}), func() {
			if r.current(life) {
				r.reporting = false
				r.schedule.Acknowledged(at, scope, epoch)
			}
		})
	}, func() {
		if r.current(life) {
			r.reporting = false
			r.schedule.Failed()
		}
	})
}

// takeDemand keeps a router's report for the next round.
func (m *zoneMember) takeDemand(report structs.DemandReport) {
	m.demand = append(m.demand, report)
	for _, row := range report.Rows {
		if row.Waiting > 0 && row.Unserved {
			m.leader.wake()
			return
		}
	}
}
