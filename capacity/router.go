package capacity

import (
	"fmt"
	"math/rand/v2"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

func routerProbes() []probe {
	rows := []int{4_000, 8_000, 16_000, 24_000, 32_000}
	runners := []int{50, 100, 200, 300, 417}
	return []probe{
		{RoleRouter, "router state, rows", "row", unitBytes, methodHeap, rows, func(size int) float64 {
			view := newZone(size, 0, 0).state.View(0, 0)
			return heapOf(func() any { return newRouter(copyNames(view)) })
		}},
		{RoleRouter, "router state, runners", "runner", unitBytes, methodHeap, runners, func(size int) float64 {
			view := newZone(10, size, 0).state.View(0, 0)
			return heapOf(func() any { return newRouter(view) })
		}},
		{RoleRouter, "router state, replicas on 100 runners", "replica", unitBytes, methodHeap, []int{200, 400, 800, 1_200, 1_600}, func(size int) float64 {
			view := newZone(2_000, 100, size).state.View(0, 0)
			return heapOf(func() any { return newRouter(view) })
		}},
		{RoleRouter, "requests held", "request", unitBytes, methodHeap, []int{250, 500, 1_000, 2_000, 4_000}, heldBytes},
		{RoleRouter, "requests of one token, from arrival to end", "request", unitMicros, methodCPU, []int{100, 200, 400, 800, 1_600}, requestCPU},
		{RoleRouter, "tokens of streams", "token", unitMicros, methodCPU, []int{1_000, 2_000, 4_000, 8_000, 16_000}, tokenCPU},
		{RoleRouter, "view of the whole table adopted", "row", unitMicros, methodCPU, rows, func(size int) float64 {
			view := newZone(size, 0, 0).state.View(0, 0)
			return cpuOf(func() { newRouter(view) })
		}},
		{RoleRouter, "placement adopted, 100 runners", "replica", unitMicros, methodCPU, []int{200, 400, 800, 1_200, 1_600}, func(size int) float64 {
			return placementCPU(100, size)
		}},
		{RoleRouter, "placement adopted, 400 replicas", "runner", unitMicros, methodCPU, runners, func(size int) float64 {
			return placementCPU(size, 400)
		}},
		{RoleRouter, "demand report", "active row", unitBytes, methodGob, []int{1, 8, 32, 64, 128}, func(size int) float64 {
			core, _ := activeRouter(size)
			return requestBytes(methodDemand, daemon.DemandArguments{Report: core.Demand()})
		}},
		{RoleRouter, "demand report made", "active row", unitMicros, methodCPU, []int{8, 32, 64, 128, 256}, func(size int) float64 {
			core, _ := activeRouter(size)
			return cpuOf(func() { core.Demand() })
		}},
	}
}

func newRouter(view structs.ZoneView) *router.Core {
	core := router.New(router.Options{
		Zone: zoneName(0), Daemon: "daemon-001", Zones: []structs.ZoneID{zoneName(0), zoneName(1)},
		Random: rand.New(rand.NewPCG(1, 1)), TotalLimit: 1 << 20,
	})
	core.Step(probeTime, router.ViewChanged{View: view})
	return core
}

// copyNames gives a view its own strings, as a message from the network has.
func copyNames(view structs.ZoneView) structs.ZoneView {
	for i := range view.Table.Rows {
		row := &view.Table.Rows[i]
		row.Name = structs.RowName([]byte(row.Name))
		row.Kind = structs.RowKind([]byte(row.Kind))
		row.Role = structs.RunnerRole([]byte(row.Role))
	}
	return view
}

// activeRouter has a running request for each of the rows.
func activeRouter(rows int) (*router.Core, []router.SendAttempt) {
	core := newRouter(newZone(max(rows, 10), 100, rows).state.View(0, 0))
	var sent []router.SendAttempt
	for index := range rows {
		sent = append(sent, arrive(core, index, rowName(index)))
	}
	return core, sent
}

func arrive(core *router.Core, index int, row structs.RowName) router.SendAttempt {
	effects := core.Step(probeTime, router.Arrived{Request: structs.Request{
		ID: structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", index)), Row: row,
		Prompt: "Explain this function, please.", MaxTokens: answerTokens, Priority: structs.PriorityLive,
	}})
	return effects[0].(router.SendAttempt)
}

func heldBytes(requests int) float64 {
	core := newRouter(newZone(100, 100, 100).state.View(0, 0))
	return heapOf(func() any {
		for index := range requests {
			arrive(core, index, rowName(index%100))
		}
		return core
	})
}

func requestCPU(requests int) float64 {
	core := newRouter(newZone(100, 100, 100).state.View(0, 0))
	next := 0
	return cpuOf(func() {
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
	return cpuOf(func() {
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
	return cpuOf(func() { core.Step(probeTime, router.ViewChanged{View: view}) })
}
