package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// storeFailureRate is the share of fetches from the weight store that fail.
	storeFailureRate = 0.1
	storeFetchLeast  = 200 * time.Millisecond
	storeFetchMost   = 2500 * time.Millisecond
)

// engineHost runs one emulated engine on the simulated network.
type engineHost struct {
	streamingEngine
	site *tableSite
	// orders holds the orders under way, by the call that carried them.
	orders map[emulator.CallID]sentBy
	// listed is the state of the engine's machine in the machine list, and
	// leavingSince when it was first listed as leaving; 0 means that it is not.
	listed       structs.MachineState
	leavingSince time.Duration
	// outage is how long the engine stays away when it dies.
	outage time.Duration
}

type sentBy struct {
	address Address
	order   structs.Order
}

func engineAddress(runner structs.RunnerID) Address { return Address(runner) }

func newEngineHost(site *tableSite, random *rand.Rand, id structs.RunnerID, zone structs.ZoneID) *engineHost {
	host := &engineHost{
		streamingEngine: newStreamingEngine(&site.simulatedSite, random, id, zone),
		site:            site,
		listed:          structs.MachineLive,
		orders:          map[emulator.CallID]sentBy{},
	}
	host.reached = host.requestReached
	if site.requests != nil {
		host.said = site.requests.records.engineSaid
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
	host.begin(options, host.take)
	site.network.Attach(host.address(), zone, host.receive)
	host.report()
	return host
}

// fetchTime stands for the weight store.
func (h *engineHost) fetchTime(structs.RowName, int64) (time.Duration, bool) {
	duration := between(h.random, storeFetchLeast, storeFetchMost)
	duration = time.Duration(float64(duration) * h.site.storeSlowness)
	return duration, h.random.Float64() >= storeFailureRate
}

// receive takes an order.
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
	h.orders[call] = sentBy{from, order}
	h.step(emulator.EngineInput{Kind: emulator.InputOrder, Call: call, Order: given})
}

// refence makes a stale order look newer than all others.
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

// report sends a report to all controllers of the zone, and plans the next one.
func (h *engineHost) report() {
	h.step(emulator.EngineInput{Kind: emulator.InputReport})
	h.scheduler.After(h.site.pace.report, h.report)
}

func (h *engineHost) take(outputs []emulator.EngineOutput) {
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
	h.tellLedger()
	h.site.ledger.overcommitted(h)
	h.planWake()
	if hasDied {
		h.died()
	}
}

// answer tells the ledger and the sender what became of an order.
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

// tellLedger passes on the engine's own records of its replicas.
func (h *engineHost) tellLedger() {
	for _, change := range h.newReplicaChanges() {
		h.site.ledger.replicaChanged(h, change)
	}
}

// requestReached checks that a leaving runner gets no new work, while its zone's
// control works.
func (h *engineHost) requestReached(request structs.GenerateRequest) {
	if h.leavingSince == 0 || h.site.lateness.controlFailed(h.zone, h.leavingSince) {
		return
	}
	h.site.requests.records.reachedLeaving(h.id, request, h.scheduler.Now()-h.leavingSince)
}

// crash kills the engine; it comes back empty after the outage.
func (h *engineHost) crash(outage time.Duration) {
	if h.engine.Dead() {
		return
	}
	h.outage = outage
	h.step(emulator.EngineInput{Kind: emulator.InputCrash})
}

// died resets all connections of an engine that was crashed or died of itself, and
// plans its return.
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
