package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	engineMemory int64 = 24 << 30
	// storeFailureRate is the share of fetches from the weight store that fail.
	storeFailureRate = 0.1
	storeFetchLeast  = 200 * time.Millisecond
	storeFetchMost   = 2500 * time.Millisecond
)

// engineHost runs one emulated engine on the simulated network.
type engineHost struct {
	site        *tableSite
	random      *rand.Rand
	id          structs.RunnerID
	zone        structs.ZoneID
	engine      *emulator.Engine
	incarnation structs.Incarnation
	call        emulator.CallID
	// orders holds the orders under way, by the call that carried them.
	orders map[emulator.CallID]sentBy
	// wake is the time of the next planned Advance; 0 means none.
	wake time.Duration
	// listed is the state of the engine's machine in the machine list, and
	// leavingSince when it was first listed as leaving; 0 means that it is not.
	listed       structs.MachineState
	leavingSince time.Duration
	// seen counts the replica changes already told to the ledger.
	seen int
}

type sentBy struct {
	address Address
	order   structs.Order
}

func engineAddress(runner structs.RunnerID) Address { return Address(runner) }

func newEngineHost(site *tableSite, random *rand.Rand, id structs.RunnerID, zone structs.ZoneID) *engineHost {
	host := &engineHost{
		site:        site,
		random:      random,
		id:          id,
		zone:        zone,
		incarnation: 1,
		listed:      structs.MachineLive,
		orders:      map[emulator.CallID]sentBy{},
	}
	host.engine = emulator.NewEngine(emulator.EngineOptions{
		Runner:          id,
		Zone:            zone,
		Role:            simulatedRole,
		MemoryBytes:     engineMemory,
		Incarnation:     1,
		HostMemoryBytes: 2 * engineMemory,
		DiskBytes:       2 * engineMemory,
		ReportLag:       site.pace.report,
		Random:          random,
		FetchTime:       host.fetchTime,
	})
	site.network.Attach(engineAddress(id), zone, host.receive)
	host.report()
	return host
}

// fetchTime stands for the weight store.
func (h *engineHost) fetchTime(structs.RowName, int64) (time.Duration, bool) {
	spread := storeFetchMost - storeFetchLeast
	duration := storeFetchLeast + time.Duration(h.random.Int64N(int64(spread)))
	duration = time.Duration(float64(duration) * h.site.storeSlowness)
	return duration, h.random.Float64() >= storeFailureRate
}

func (h *engineHost) now() time.Time { return epochStart.Add(h.site.scheduler.Now()) }

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
	h.call++
	h.orders[h.call] = sentBy{from, order}
	h.take(h.engine.Step(h.now(), emulator.EngineInput{Kind: emulator.InputOrder, Call: h.call, Order: given}))
}

// refence makes a stale order look newer than all others.
func (h *engineHost) refence(order structs.Order) structs.Order {
	newest := h.engine.Step(h.now(), emulator.EngineInput{Kind: emulator.InputReport})
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
	h.take(h.engine.Step(h.now(), emulator.EngineInput{Kind: emulator.InputReport}))
	h.site.scheduler.After(h.site.pace.report, h.report)
}

func (h *engineHost) take(outputs []emulator.EngineOutput) {
	for _, output := range outputs {
		switch output.Kind {
		case emulator.OutputOrder:
			h.answer(output)
		case emulator.OutputReport:
			h.broadcast(*output.Report)
		}
	}
	h.tellLedger()
	h.site.ledger.overcommitted(h)
	h.planWake()
}

// answer tells the ledger and the sender what became of an order.
func (h *engineHost) answer(output emulator.EngineOutput) {
	sent := h.orders[output.Call]
	delete(h.orders, output.Call)
	h.site.ledger.orderAnswered(h, sent.order, *output.Order)
	h.site.network.Send(engineAddress(h.id), sent.address, orderAnswer{order: sent.order, reply: *output.Order})
}

func (h *engineHost) broadcast(report structs.EngineReport) {
	for _, d := range h.site.daemons {
		if d.machine.Zone == h.zone {
			h.site.network.Send(engineAddress(h.id), d.machine.Address, reportMessage{report})
		}
	}
}

// tellLedger passes on the engine's own records of its replicas.
func (h *engineHost) tellLedger() {
	changes := h.engine.Records().ReplicaChanges
	for ; h.seen < len(changes); h.seen++ {
		h.site.ledger.replicaChanged(h, changes[h.seen])
	}
}

// planWake plans the next Advance.
func (h *engineHost) planWake() {
	next, found := h.engine.NextEvent()
	if !found || h.engine.Dead() {
		return
	}
	at := max(next.Sub(epochStart), h.site.scheduler.Now())
	if h.wake != 0 && h.wake <= at && h.wake > h.site.scheduler.Now() {
		return
	}
	h.wake = at
	h.site.scheduler.At(at, func() {
		if h.wake == at {
			h.wake = 0
			h.take(h.engine.Advance(h.now()))
		}
	})
}

// crash kills the engine; it comes back empty after the outage.
func (h *engineHost) crash(outage time.Duration) {
	if h.engine.Dead() {
		return
	}
	h.take(h.engine.Step(h.now(), emulator.EngineInput{Kind: emulator.InputCrash}))
	h.site.ledger.engineDied(h)
	h.site.scheduler.After(outage, func() {
		if !h.engine.Dead() {
			return
		}
		h.incarnation++
		h.take(h.engine.Restart(h.now(), h.incarnation))
		h.site.trace.Note("engine-restart", string(h.id), formatCount(int(h.incarnation)))
	})
}
