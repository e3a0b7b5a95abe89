package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	requestReportLag   = 300 * time.Millisecond
	minRequestLoad     = 300 * time.Millisecond
	maxRequestLoad     = 1500 * time.Millisecond
	engineRestartDelay = 1500 * time.Millisecond
	// propagationDelay is how long the zone's group takes to learn of a change.
	propagationDelay = 600 * time.Millisecond
)

// answerEngine runs one emulated engine that answers requests.
type answerEngine struct {
	streamingEngine
	site    *requestSite
	leaving bool
	// leftAt is when the runner began to leave, in virtual time.
	leftAt time.Duration
	order  structs.OrderNumber
	ready  map[structs.RowName]bool
}

func newAnswerEngine(site *requestSite, id structs.RunnerID, zone structs.ZoneID) *answerEngine {
	random := rand.New(rand.NewPCG(site.plan.seed, uint64(len(site.engines)+10)))
	host := &answerEngine{
		streamingEngine: newStreamingEngine(site.simulatedSite, random, id, zone),
		site:            site,
		ready:           map[structs.RowName]bool{},
	}
	host.onStatus = site.records.statusAnswered
	host.onRequest = func(request structs.GenerateRequest) {
		if host.leaving {
			site.records.checkLeavingRequest(id, request, site.scheduler.Now()-host.leftAt)
		}
	}
	host.begin(emulator.EngineOptions{
		MaxBatch: requestMaxBatch, DecodeBase: requestDecodeBase, ReportLag: requestReportLag,
		Random: host.random,
		FetchTime: func(structs.RowName, int64) (time.Duration, bool) {
			return between(host.random, minRequestLoad, maxRequestLoad), true
		},
	}, host.handleOutputs)
	site.network.Attach(host.address(), zone, nil)
	host.load()
	return host
}

// load orders the load of every row that the zone serves.
func (h *answerEngine) load() {
	h.announce()
	for _, row := range requestRows {
		if !row.servedIn(h.zone) {
			continue
		}
		wait := row.loadAt(h.zone) - h.site.scheduler.Now()
		if wait <= 0 {
			h.loadRow(row.name)
			continue
		}
		incarnation := h.incarnation
		h.site.scheduler.After(wait, func() {
			if h.incarnation == incarnation && !h.engine.Dead() {
				h.loadRow(row.name)
			}
		})
	}
}

func (h *answerEngine) loadRow(name structs.RowName) {
	h.order++
	h.step(emulator.EngineInput{Kind: emulator.InputOrder, Call: h.nextCall(), Order: structs.Order{
		Fence: structs.Fence{Epoch: 1, Number: h.order}, Kind: structs.OrderLoad,
		Runner: h.id, Incarnation: h.incarnation, Row: name, MemoryBytes: requestRowBytes,
	}})
}

// announce passes the state of an engine report to the zone's group.
func (h *answerEngine) announce() {
	info := structs.RunnerInfo{
		ID: h.id, Zone: h.zone, Address: string(h.id), Role: simulatedRole,
		Incarnation: h.incarnation, MemoryBytes: engineMemory, Accelerators: 1,
		Leaving: h.leaving && !h.site.mutated(mutationKeepLeaving),
	}
	ready := readyRows(h.ready)
	h.site.scheduler.After(propagationDelay, func() {
		if info.Incarnation == h.incarnation {
			h.site.singleGroups[h.zone].setRunner(info, ready)
		}
	})
}

func (h *answerEngine) handleOutputs(outputs []emulator.EngineOutput) {
	for _, output := range outputs {
		h.answerCalls(output)
		if output.Kind == emulator.OutputDied {
			h.died()
		}
	}
	h.updateReadyRows()
	h.planWake()
}

// died resets all connections and schedules a restart with the next incarnation.
func (h *answerEngine) died() {
	h.site.trace.Note("engine-died", string(h.id), "")
	h.resetStreams()
	clear(h.ready)
	h.site.scheduler.After(engineRestartDelay, h.restartAndLoad)
}

// restartAndLoad restarts a dead engine and loads its rows.
func (h *answerEngine) restartAndLoad() {
	if !h.engine.Dead() {
		return
	}
	h.leaving = false
	h.order = 0
	h.restart()
	h.load()
}

func (h *answerEngine) crash() { h.step(emulator.EngineInput{Kind: emulator.InputCrash}) }

// leave marks the runner as leaving; it is reclaimed after the notice once idle.
func (h *answerEngine) leave(notice time.Duration) {
	if h.leaving || h.engine.Dead() {
		return
	}
	h.leaving = true
	h.leftAt = h.site.scheduler.Now()
	h.announce()
	leaver := h.incarnation
	h.site.scheduler.After(notice, func() { h.reclaimWhenIdle(leaver) })
}

func (h *answerEngine) reclaimWhenIdle(leaver structs.Incarnation) {
	if h.incarnation != leaver || h.engine.Dead() {
		return
	}
	if len(h.streams) > 0 {
		h.site.scheduler.After(propagationDelay, func() { h.reclaimWhenIdle(leaver) })
		return
	}
	h.crash()
}

// updateReadyRows processes the engine's replica changes.
func (h *answerEngine) updateReadyRows() {
	changes := h.newReplicaChanges()
	for _, change := range changes {
		delete(h.ready, change.Row)
		if change.State == structs.ReplicaReady {
			h.ready[change.Row] = true
		}
	}
	if len(changes) > 0 && !h.engine.Dead() {
		h.announce()
	}
}
