package simulate

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	requestMaxBatch    = 3
	requestDecodeBase  = 70 * time.Millisecond
	requestReportLag   = 300 * time.Millisecond
	requestLoadLeast   = 300 * time.Millisecond
	requestLoadMost    = 1500 * time.Millisecond
	engineRestartDelay = 1500 * time.Millisecond
	// noticeDelay is how long the zone's group takes to learn of a change.
	noticeDelay = 600 * time.Millisecond
	// oversizedText is how long the text of an oversized token is, in bytes.
	oversizedText = 1 << 17
)

// streamFaults are faults of an engine's HTTP side, beside those of the emulator.
type streamFaults struct {
	// silent engines take connections and calls and send nothing any more.
	silent bool
	// truncateRate is the share of tokens after which a stream ends as if whole.
	truncateRate float64
	// unfinishedRate is the share of answers whose last token is never sent although
	// the stream stays open.
	unfinishedRate float64
	// oversizeRate is the share of tokens with far too long a text.
	oversizeRate float64
}

// answerEngine runs one emulated engine that answers requests.
type answerEngine struct {
	emulatedEngine
	site    *requestSite
	random  *rand.Rand
	leaving bool
	// leftAt is when the runner was first known to leave, in virtual time.
	leftAt  time.Duration
	faults  streamFaults
	streams map[emulator.CallID]*connection
	status  map[emulator.CallID]func(structs.RequestStatus)
	order   structs.OrderNumber
	ready   map[structs.RowName]bool
}

func newAnswerEngine(site *requestSite, id structs.RunnerID, zone structs.ZoneID) *answerEngine {
	host := &answerEngine{
		emulatedEngine: newEmulatedEngine(&site.simulatedSite, id, zone),
		site:           site,
		random:         rand.New(rand.NewPCG(site.plan.seed, uint64(len(site.engines)+10))),
		streams:        map[emulator.CallID]*connection{},
		status:         map[emulator.CallID]func(structs.RequestStatus){},
		ready:          map[structs.RowName]bool{},
	}
	host.begin(emulator.EngineOptions{
		MaxBatch: requestMaxBatch, DecodeBase: requestDecodeBase, ReportLag: requestReportLag,
		Random: host.random,
		FetchTime: func(structs.RowName, int64) (time.Duration, bool) {
			return between(host.random, requestLoadLeast, requestLoadMost), true
		},
	}, host.take)
	site.network.Attach(host.address(), zone, nil)
	host.load()
	return host
}

// listening reports whether a connection can be made: a silent engine takes them too.
func (h *answerEngine) listening() bool { return !h.engine.Dead() }

// load asks for every row that the zone serves.
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

// announce tells the zone's group what it would learn from the engine's report.
func (h *answerEngine) announce() {
	info := structs.RunnerInfo{
		ID: h.id, Zone: h.zone, Address: string(h.id), Role: simulatedRole,
		Incarnation: h.incarnation, MemoryBytes: engineMemory, Accelerators: 1,
		Leaving: h.leaving && !h.site.mutated(mutationKeepLeaving),
	}
	ready := readyRows(h.ready)
	h.site.scheduler.After(noticeDelay, func() {
		if info.Incarnation == h.incarnation {
			h.site.groups[h.zone].setRunner(info, ready)
		}
	})
}

// generate takes a request that arrived on a connection.
func (h *answerEngine) generate(stream *connection, request structs.GenerateRequest) {
	call := h.nextCall()
	h.streams[call] = stream
	stream.up.end.ended = func() {
		delete(h.streams, call)
		h.step(emulator.EngineInput{Kind: emulator.InputDisconnect, Call: call})
	}
	h.site.records.requestReached(h, request)
	h.step(emulator.EngineInput{Kind: emulator.InputGenerate, Call: call, Generate: request})
}

// askStatus gives answer, if not nil, the status of a request; with cancel set
// the request is stopped and its ID fenced first.
func (h *answerEngine) askStatus(id structs.RequestID, cancel bool, answer func(structs.RequestStatus)) {
	call := h.nextCall()
	if answer != nil {
		h.status[call] = answer
	}
	h.step(emulator.EngineInput{Kind: emulator.InputStatus, Call: call, ID: id, Cancel: cancel})
}

func (h *answerEngine) take(outputs []emulator.EngineOutput) {
	for _, output := range outputs {
		switch output.Kind {
		case emulator.OutputAccepted, emulator.OutputRefused, emulator.OutputToken, emulator.OutputReset:
			h.stream(output)
		case emulator.OutputStatus:
			h.answerStatus(output)
		case emulator.OutputDied:
			h.died()
		}
	}
	h.noticeReplicas()
	h.planWake()
}

// stream sends an output of a generate call on its connection.
func (h *answerEngine) stream(output emulator.EngineOutput) {
	stream := h.streams[output.Call]
	if stream == nil || h.faults.silent {
		return
	}
	if output.Kind == emulator.OutputReset {
		h.endStream(output.Call)
		return
	}
	whole := output.Kind == emulator.OutputToken && output.Token.Finish != ""
	if whole && h.happens(h.faults.unfinishedRate) {
		return
	}
	if output.Kind == emulator.OutputToken && h.happens(h.faults.oversizeRate) {
		output.Token.Text = strings.Repeat("x", oversizedText)
	}
	stream.down.send(output)
	truncated := output.Kind == emulator.OutputToken && h.happens(h.faults.truncateRate)
	if whole || truncated || output.Kind == emulator.OutputRefused {
		h.endStream(output.Call)
	}
}

func (h *answerEngine) happens(rate float64) bool { return rate > 0 && h.random.Float64() < rate }

func (h *answerEngine) endStream(call emulator.CallID) {
	h.streams[call].closeServer()
	delete(h.streams, call)
}

func (h *answerEngine) answerStatus(output emulator.EngineOutput) {
	answer := h.status[output.Call]
	delete(h.status, output.Call)
	if answer != nil && !h.faults.silent {
		h.site.records.engineSaid(*output.Status)
		answer(*output.Status)
	}
}

// died resets all connections; the process comes back as another incarnation.
func (h *answerEngine) died() {
	h.site.trace.Note("engine-died", string(h.id), "")
	calls := make([]emulator.CallID, 0, len(h.streams))
	for call := range h.streams {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		h.endStream(call)
	}
	clear(h.status)
	clear(h.ready)
	h.site.scheduler.After(engineRestartDelay, h.comeBack)
}

// comeBack restarts a dead engine and lets it load its rows.
func (h *answerEngine) comeBack() {
	if !h.engine.Dead() {
		return
	}
	h.leaving = false
	h.order = 0
	h.restart()
	h.load()
}

func (h *answerEngine) crash() { h.step(emulator.EngineInput{Kind: emulator.InputCrash}) }

// leave starts the runner's departure; it dies once nothing runs on it any more.
func (h *answerEngine) leave(patience time.Duration) {
	if h.leaving || h.engine.Dead() {
		return
	}
	h.leaving = true
	h.leftAt = h.site.scheduler.Now()
	h.announce()
	leaver := h.incarnation
	h.site.scheduler.After(patience, func() { h.reclaimWhenIdle(leaver) })
}

func (h *answerEngine) reclaimWhenIdle(leaver structs.Incarnation) {
	if h.incarnation != leaver || h.engine.Dead() {
		return
	}
	if len(h.streams) > 0 {
		h.site.scheduler.After(noticeDelay, func() { h.reclaimWhenIdle(leaver) })
		return
	}
	h.crash()
}

// noticeReplicas follows the engine's own records of its replicas.
func (h *answerEngine) noticeReplicas() {
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
