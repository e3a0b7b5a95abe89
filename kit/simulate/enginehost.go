package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// storeFailureRate is the share of failing fetches from the weight store.
	storeFailureRate = 0.1
	minStoreFetch    = 200 * time.Millisecond
	maxStoreFetch    = 2500 * time.Millisecond
)

// engineHost runs one emulated engine on the simulated network.
type engineHost struct {
	streamingEngine
	site *tableSite
	// orders holds the orders in progress by call ID.
	orders map[emulator.CallID]pendingOrder
	// listed is the state of the engine's machine in the machine list, and
	// leavingSince the time at which it was first listed as leaving; 0 means that it
	// is not.
	listed       structs.MachineState
	leavingSince time.Duration
	// outage is the downtime of the engine after it dies.
	outage time.Duration
}

type pendingOrder struct {
	address Address
	order   structs.Order
}

func engineAddress(runner structs.RunnerID) Address { return Address(runner) }

func newEngineHost(site *tableSite, random *rand.Rand, id structs.RunnerID, zone structs.ZoneID) *engineHost {
	host := &engineHost{
		streamingEngine: newStreamingEngine(&site.simulatedSite, random, id, zone),
		site:            site,
		listed:          structs.MachineLive,
		orders:          map[emulator.CallID]pendingOrder{},
	}
	host.onRequest = host.checkRequest
	if site.requests != nil {
		host.onStatus = site.requests.records.statusAnswered
	}
	options := emulator.EngineOptions{
		ReportLag: site.pace.report,
		Random:    random,
		FetchTime: host.fetchTime,
	}
	if site.requests != nil {
		options.MaxBatch = requestMaxBatch
		options.DecodeBase = requestDecodeBase
	}
	host.begin(options, host.handleOutputs)
	site.network.Attach(host.address(), zone, host.receive)
	host.report()
	return host
}

// fetchTime simulates a fetch from the weight store: its duration and whether it
// succeeds.
func (h *engineHost) fetchTime(structs.RowName, int64) (time.Duration, bool) {
	duration := between(h.random, minStoreFetch, maxStoreFetch)
	duration = time.Duration(float64(duration) * h.site.storeSlowness)
	return duration, h.random.Float64() >= storeFailureRate
}

func (h *engineHost) receive(from Address, message any) {
	content, ok := message.(orderMessage)
	if !ok {
		return
	}
	order := content.order
	given := order
	if h.site.mutated(mutationNoFence) && !h.engine.Dead() {
		given = h.refence(order)
	}
	call := h.nextCall()
	h.orders[call] = pendingOrder{from, order}
	h.step(emulator.EngineInput{Kind: emulator.InputOrder, Call: call, Order: given})
}

// refence gives an order that is not newer than the engine's fence the next fence.
func (h *engineHost) refence(order structs.Order) structs.Order {
	newest := h.engine.Step(h.scheduler.wallTime(), emulator.EngineInput{Kind: emulator.InputReport})
	for _, output := range newest {
		if output.Report != nil && !output.Report.Fence.Before(order.Fence) {
			order.Fence = output.Report.Fence
			order.Fence.Number++
		}
	}
	return order
}

// report sends a report to all controllers of the zone and schedules the next one.
func (h *engineHost) report() {
	h.step(emulator.EngineInput{Kind: emulator.InputReport})
	h.scheduler.After(h.site.pace.report, h.report)
}

func (h *engineHost) handleOutputs(outputs []emulator.EngineOutput) {
	hasDied := false
	for _, output := range outputs {
		h.answerCalls(output)
		switch output.Kind {
		case emulator.OutputDied:
			hasDied = true
		case emulator.OutputOrder:
			h.answer(output)
		case emulator.OutputReport:
			h.broadcast(*output.Report)
		}
	}
	h.recordReplicaChanges()
	h.site.ledger.overcommitted(h)
	h.planWake()
	if hasDied {
		h.died()
	}
}

// answer passes the reply to an order to the ledger and the sender.
func (h *engineHost) answer(output emulator.EngineOutput) {
	sent := h.orders[output.Call]
	delete(h.orders, output.Call)
	h.site.ledger.orderAnswered(h, sent.order, *output.Order)
	h.site.network.Send(h.address(), sent.address, orderAnswer{order: sent.order, reply: *output.Order})
}

func (h *engineHost) broadcast(report structs.EngineReport) {
	h.site.ledger.orderSteps.reported(h, report)
	for _, d := range h.site.daemons {
		if d.machine.Zone == h.zone {
			h.site.network.Send(h.address(), d.machine.Address, reportMessage{report})
		}
	}
}

// recordReplicaChanges passes the engine's replica changes to the ledger.
func (h *engineHost) recordReplicaChanges() {
	for _, change := range h.newReplicaChanges() {
		h.site.ledger.replicaChanged(h, change)
	}
}

// checkRequest checks that a leaving runner receives no new requests while its
// zone's control plane works.
func (h *engineHost) checkRequest(request structs.GenerateRequest) {
	if h.leavingSince == 0 || h.site.progress.controlFailed(h.zone, h.leavingSince) {
		return
	}
	h.site.requests.records.checkLeavingRequest(h.id, request, h.scheduler.Now()-h.leavingSince)
}

// crash kills the engine, which restarts empty after the outage.
func (h *engineHost) crash(outage time.Duration) {
	if h.engine.Dead() {
		return
	}
	h.outage = outage
	h.step(emulator.EngineInput{Kind: emulator.InputCrash})
}

// died resets all connections of a dead engine and schedules its restart.
func (h *engineHost) died() {
	h.resetStreams()
	h.site.ledger.engineDied(h)
	outage := h.outage
	h.outage = engineRestartDelay
	h.scheduler.After(outage, func() {
		if h.engine.Dead() {
			h.restart()
		}
	})
}
