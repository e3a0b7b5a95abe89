package simulate

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	requestMaxBatch   = 3
	requestDecodeBase = 70 * time.Millisecond
	// oversizedText is the text length of an oversized token in bytes.
	oversizedText = 1 << 17
)

// streamFaults holds the faults of an engine's HTTP side, in addition to those of
// the emulator.
type streamFaults struct {
	// silent engines accept connections and calls but send nothing.
	silent bool
	// truncateRate is the share of tokens after which a stream ends as if it were
	// complete.
	truncateRate float64
	// unfinishedRate is the share of answers whose last token is withheld while the
	// stream stays open.
	unfinishedRate float64
	// oversizeRate is the share of oversized tokens.
	oversizeRate float64
}

// streamingEngine is an emulated engine with an HTTP side that answers requests on
// connections.
type streamingEngine struct {
	emulatedEngine
	random  *rand.Rand
	faults  streamFaults
	streams map[emulator.CallID]*connection
	status  map[emulator.CallID]func(structs.RequestStatus)
	// onRequest is called for each request before the engine gets it, onStatus for
	// each status that the engine answers.
	onRequest func(structs.GenerateRequest)
	onStatus  func(structs.RequestStatus)
}

func newStreamingEngine(site *simulatedSite, random *rand.Rand, id structs.RunnerID, zone structs.ZoneID) streamingEngine {
	return streamingEngine{
		emulatedEngine: newEmulatedEngine(site, id, zone),
		random:         random,
		streams:        map[emulator.CallID]*connection{},
		status:         map[emulator.CallID]func(structs.RequestStatus){},
	}
}

// listening reports whether the engine accepts connections, which a silent one does
// too.
func (h *streamingEngine) listening() bool { return !h.engine.Dead() }

// generate passes a request from a connection to the engine.
func (h *streamingEngine) generate(stream *connection, request structs.GenerateRequest) {
	call := h.nextCall()
	h.streams[call] = stream
	stream.up.end.ended = func() {
		delete(h.streams, call)
		h.step(emulator.EngineInput{Kind: emulator.InputDisconnect, Call: call})
	}
	h.onRequest(request)
	h.step(emulator.EngineInput{Kind: emulator.InputGenerate, Call: call, Generate: request})
}

// askStatus passes the status of a request to answer, if not nil. With cancel set
// the request is first stopped and its ID fenced.
func (h *streamingEngine) askStatus(id structs.RequestID, cancel bool, answer func(structs.RequestStatus)) {
	call := h.nextCall()
	if answer != nil {
		h.status[call] = answer
	}
	h.step(emulator.EngineInput{Kind: emulator.InputStatus, Call: call, ID: id, Cancel: cancel})
}

// answerCalls sends the engine's output for a request to its caller.
func (h *streamingEngine) answerCalls(output emulator.EngineOutput) {
	switch output.Kind {
	case emulator.OutputAccepted, emulator.OutputRefused, emulator.OutputToken, emulator.OutputReset:
		h.stream(output)
	case emulator.OutputStatus:
		h.answerStatus(output)
	}
}

// stream sends the output of a generate call on its connection.
func (h *streamingEngine) stream(output emulator.EngineOutput) {
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

func (h *streamingEngine) happens(rate float64) bool { return rate > 0 && h.random.Float64() < rate }

func (h *streamingEngine) endStream(call emulator.CallID) {
	h.streams[call].closeServer()
	delete(h.streams, call)
}

func (h *streamingEngine) answerStatus(output emulator.EngineOutput) {
	answer := h.status[output.Call]
	delete(h.status, output.Call)
	if answer != nil && !h.faults.silent {
		h.onStatus(*output.Status)
		answer(*output.Status)
	}
}

// resetStreams closes all connections of a dead engine.
func (h *streamingEngine) resetStreams() {
	calls := make([]emulator.CallID, 0, len(h.streams))
	for call := range h.streams {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		h.endStream(call)
	}
	clear(h.status)
}
