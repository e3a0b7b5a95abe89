package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// runnerBatch is the maximum batch size of a runner.
const runnerBatch = 64

func routerProbes() []probe {
	rows := tableSizes
	runners := []int{50, 100, 200, 300, 417}
	active := []int{8, 32, 64, 128, 290}
	return []probe{
		{RoleRouter, "router state, rows", "row", unitBytes, methodHeap, rows, func(size int) float64 {
			view := newZone(size, 0, 0).state.View(0, 0)
			return retainedHeapBeside(view, func(view structs.ZoneView) any { return newRouter(copyNames(view)) })
		}},
		{RoleRouter, "router state, runners", "runner", unitBytes, methodHeap, runners, func(size int) float64 {
			view := newZone(10, size, 0).state.View(0, 0)
			return retainedHeapBeside(view, func(view structs.ZoneView) any { return newRouter(copyNames(view)) })
		}},
		{RoleRouter, "router state, replicas on 100 runners", "replica", unitBytes, methodHeap, []int{200, 400, 800, 1_200, 1_600}, func(size int) float64 {
			view := newZone(2_000, 100, size).state.View(0, 0)
			return retainedHeapBeside(view, func(view structs.ZoneView) any { return newRouter(copyNames(view)) })
		}},
		{RoleRouter, "requests held", "request", unitBytes, methodHeap, []int{250, 500, 1_000, 2_000, 4_000}, pendingRequestBytes},
		{RoleRouter, "requests of one token, from arrival to end", "request", unitMicros, methodCPU, []int{100, 200, 400, 800, 1_600}, requestCPU},
		{RoleRouter, "tokens of streams", "token", unitMicros, methodCPU, []int{1_000, 2_000, 4_000, 8_000, 16_000}, tokenCPU},
		{RoleRouter, "tick, one request waiting a row", "waiting row", unitMicros, methodCPU, []int{25, 50, 100, 200, 400}, func(size int) float64 {
			return tickCPU(size, 1)
		}},
		{RoleRouter, "tick, ten rows waiting", "waiting request of each", unitMicros, methodCPU, []int{2, 4, 6, 8, 12}, func(size int) float64 {
			return tickCPU(10, size)
		}},
		{RoleRouter, "view of the whole table adopted", "row", unitMicros, methodCPU, rows, func(size int) float64 {
			view := newZone(size, 0, 0).state.View(0, 0)
			return cpuTime(func() { newRouter(view) })
		}},
		{RoleRouter, "placement adopted, 100 runners", "replica", unitMicros, methodCPU, []int{200, 400, 800, 1_200, 1_600}, func(size int) float64 {
			return placementCPU(100, size)
		}},
		{RoleRouter, "placement adopted, 400 replicas", "runner", unitMicros, methodCPU, runners, func(size int) float64 {
			return placementCPU(size, 400)
		}},
		{RoleRouter, "demand report", "active row", unitBytes, methodGob, active, func(size int) float64 {
			core, _ := activeRouter(size)
			return requestBytes(methodDemand, daemon.DemandArguments{Report: core.Demand()})
		}},
		{RoleRouter, "demand report made", "active row", unitMicros, methodCPU, active, func(size int) float64 {
			core, _ := activeRouter(size)
			return cpuTime(func() { core.Demand() })
		}},
	}
}

func newRouter(view structs.ZoneView) *router.Core {
	core := router.New(router.Options{
		Zone: zoneName(0), Daemon: "daemon-001", Zones: []structs.ZoneID{zoneName(0), zoneName(1)},
		Random: rand.New(rand.NewPCG(1, 1)), TotalLimit: 1 << 20,
	})
	core.Step(probeTime, router.ViewChanged{View: view})
	if view.Placement == nil {
		return core
	}
	for _, info := range view.Placement.Runners {
		report := structs.LoadReport{MaxBatch: runnerBatch, ObservedAt: probeTime}
		core.Step(probeTime, router.LoadObserved{Runner: info.ID, Report: report})
	}
	return core
}

// copyNames returns a view that shares no name strings with the original, like a view
// decoded from the network.
func copyNames(view structs.ZoneView) structs.ZoneView {
	view.Table.Rows = slices.Clone(view.Table.Rows)
	for i := range view.Table.Rows {
		row := &view.Table.Rows[i]
		row.Name = structs.RowName(strings.Clone(string(row.Name)))
		row.Kind = structs.RowKind(strings.Clone(string(row.Kind)))
		row.Role = structs.RunnerRole(strings.Clone(string(row.Role)))
	}
	if view.Placement == nil {
		return view
	}
	placement := *view.Placement
	placement.Runners = slices.Clone(placement.Runners)
	for i := range placement.Runners {
		runner := &placement.Runners[i]
		runner.ID = structs.RunnerID(strings.Clone(string(runner.ID)))
		runner.Address = strings.Clone(runner.Address)
	}
	placement.Replicas = slices.Clone(placement.Replicas)
	for i := range placement.Replicas {
		replica := &placement.Replicas[i]
		replica.Row = structs.RowName(strings.Clone(string(replica.Row)))
	}
	view.Placement = &placement
	return view
}

// activeRouter returns a router with one running request for each row, and the
// attempts.
func activeRouter(rows int) (*router.Core, []router.SendAttempt) {
	core := newRouter(newZone(max(rows, 10), 100, rows).state.View(0, 0))
	var sent []router.SendAttempt
	for index := range rows {
		sent = append(sent, arrive(core, index, rowName(index)))
	}
	return core, sent
}

// step submits a request and returns the resulting effects.
func step(core *router.Core, index int, row structs.RowName) []router.Effect {
	return core.Step(probeTime, router.Arrived{Request: structs.Request{
		ID: structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", index)), Row: row,
		Prompt: "Explain this function, please.", MaxTokens: answerTokens, Priority: structs.PriorityLive,
	}})
}

// arrive is like step for a request that is sent to a runner immediately.
func arrive(core *router.Core, index int, row structs.RowName) router.SendAttempt {
	effects := step(core, index, row)
	if len(effects) != 1 {
		panic(fmt.Sprintf("request %d for %s: %d effects in place of one attempt", index, row, len(effects)))
	}
	return effects[0].(router.SendAttempt)
}

// tickCPU returns the processor time of a tick while requests wait for rows that no
// zone has loaded.
func tickCPU(rows, requests int) float64 {
	core := newRouter(newZone(1_000, 10, 0).state.View(0, 0))
	for index := range rows * requests {
		effects := refuseOffers(core, step(core, index, rowName(index%rows)))
		if len(effects) > 0 {
			panic(fmt.Sprintf("request %d does not wait: %v", index, effects))
		}
	}
	return cpuTime(func() { core.Step(probeTime, router.Tick{}) })
}

// refuseOffers rejects each offer on behalf of all its zones. It returns the other
// effects and those of the rejections.
func refuseOffers(core *router.Core, effects []router.Effect) []router.Effect {
	var others []router.Effect
	for _, effect := range slices.Clone(effects) {
		offer, offered := effect.(router.Offer)
		if !offered {
			others = append(others, effect)
			continue
		}
		others = append(others, core.Step(probeTime, router.OfferFailed{ID: offer.ID, Rejected: offer.Zones})...)
	}
	return others
}

func pendingRequestBytes(requests int) float64 {
	core := newRouter(newZone(100, 100, 100).state.View(0, 0))
	return retainedHeap(func() any {
		for index := range requests {
			arrive(core, index, rowName(index%100))
		}
		return core
	})
}

func requestCPU(requests int) float64 {
	core := newRouter(newZone(100, 100, 100).state.View(0, 0))
	next := 0
	return cpuTime(func() {
		for range requests {
			next++
			sent := arrive(core, next, rowName(next%100))
			core.Step(probeTime, router.AttemptStarted{Attempt: sent.Attempt})
			token := structs.Token{ID: sent.Generate.ID, Text: " wordword", Finish: structs.FinishStop}
			core.Step(probeTime, router.TokenReceived{Attempt: sent.Attempt, Token: token})
		}
	})
}

func tokenCPU(tokens int) float64 {
	core, sent := activeRouter(100)
	events := make([]router.TokenReceived, len(sent))
	for index, attempt := range sent {
		events[index] = router.TokenReceived{Attempt: attempt.Attempt, Token: structs.Token{ID: attempt.Generate.ID, Text: " wordword"}}
	}
	next := 0
	return cpuTime(func() {
		for range tokens {
			event := &events[next%len(events)]
			core.Step(probeTime, event)
			event.Token.Index++
			next++
		}
	})
}

func placementCPU(runners, replicas int) float64 {
	m := newZone(2_000, runners, replicas)
	core := newRouter(m.state.View(0, 0))
	view := m.state.View(1, 0)
	return cpuTime(func() { core.Step(probeTime, router.ViewChanged{View: view}) })
}
