package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// EngineServer serves an Engine over HTTP, driven by a Clock. An idle server has no
// goroutine, so that many can share a process.
type EngineServer struct {
	logger log.Logger
	clock  *Clock

	mutex  sync.Mutex
	engine *Engine
	alarm  alarm
	calls  map[CallID]*callQueue
	last   CallID
	closed bool
	// incarnationContext is cancelled when the engine crashes, which aborts its fetches.
	incarnationContext context.Context
	cancelIncarnation  context.CancelFunc

	store        *engineapi.Client
	storeAddress string
}

// callQueue holds the outputs of one call that its handler has not taken yet.
type callQueue struct {
	outputs []EngineOutput
	// ready holds a value while outputs is not empty.
	ready chan struct{}
}

// NewEngineServer returns a server of the engine and takes ownership of it. Close it
// after use.
func NewEngineServer(logger log.Logger, engine *Engine, clock *Clock) *EngineServer {
	s := &EngineServer{logger: log.With(logger, "component", "engine"), clock: clock, engine: engine}
	s.alarm = alarm{clock: clock, fire: s.advance}
	s.incarnationContext, s.cancelIncarnation = context.WithCancel(context.Background())
	return s
}

// UseStore sets the weight store from which the engine fetches checkpoints. Without it
// or EngineOptions.FetchTime, all fetches fail.
func (s *EngineServer) UseStore(client *engineapi.Client, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store = client
	s.storeAddress = address
}

// Engine calls use with exclusive access to the engine and dispatches the returned
// outputs.
func (s *EngineServer) Engine(use func(engine *Engine, now time.Time) []EngineOutput) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(use(s.engine, s.clock.Now()))
}

// Crash crashes the engine. All connections are reset until Restart.
func (s *EngineServer) Crash() {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		return engine.Step(now, EngineInput{Kind: InputCrash})
	})
}

// Restart restarts the engine under the given incarnation; 0 means the next one.
func (s *EngineServer) Restart(incarnation structs.Incarnation) {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		option.Default(&incarnation, engine.Incarnation()+1)
		return engine.Restart(now, incarnation)
	})
}

// SetFaults replaces the injected faults of the engine.
func (s *EngineServer) SetFaults(faults EngineFaults) {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		outputs := engine.Advance(now)
		engine.SetFaults(faults)
		return outputs
	})
}

// Close stops the server and resets the calls in progress.
func (s *EngineServer) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.resetCalls()
	s.alarm.stop()
	s.cancelIncarnation()
}

func (s *EngineServer) advance() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	s.alarm.at = time.Time{}
	s.dispatch(s.engine.Advance(s.clock.Now()))
}

// openCall starts a call and passes its input to the engine.
func (s *EngineServer) openCall(input EngineInput) (CallID, *callQueue) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	input.Call = s.last
	queue := &callQueue{ready: make(chan struct{}, 1)}
	if s.closed {
		queue.put(EngineOutput{Kind: OutputReset})
		return input.Call, queue
	}
	if s.calls == nil {
		s.calls = make(map[CallID]*callQueue)
	}
	s.calls[input.Call] = queue
	s.dispatch(s.engine.Step(s.clock.Now(), input))
	return input.Call, queue
}

// endCall removes a call. If disconnected is set, the caller left before the endCall of the
// response.
func (s *EngineServer) endCall(call CallID, disconnected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, call)
	if disconnected && !s.closed {
		s.dispatch(s.engine.Step(s.clock.Now(), EngineInput{Kind: InputDisconnect, Call: call}))
	}
}

// take removes and returns the pending outputs of a call.
func (s *EngineServer) take(queue *callQueue) []EngineOutput {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outputs := queue.outputs
	queue.outputs = nil
	return outputs
}

func (q *callQueue) put(output EngineOutput) {
	q.outputs = append(q.outputs, output)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// dispatch passes outputs to their calls and sets the alarm.
func (s *EngineServer) dispatch(outputs []EngineOutput) {
	for _, output := range outputs {
		switch output.Kind {
		case OutputDied:
			level.Warn(s.logger).Log("msg", "Engine crashed.", "runner", s.engine.options.Runner)
			s.resetCalls()
			s.cancelIncarnation()
			s.incarnationContext, s.cancelIncarnation = context.WithCancel(context.Background())
		case OutputFetch:
			go s.fetch(s.incarnationContext, *output.Fetch)
		default:
			if queue := s.calls[output.Call]; queue != nil {
				queue.put(output)
			}
		}
	}
	s.alarm.set(s.engine.NextEvent())
}

func (s *EngineServer) resetCalls() {
	for _, queue := range s.calls {
		queue.put(EngineOutput{Kind: OutputReset})
	}
	s.calls = nil
}

// fetch reads a checkpoint from the weight store and reports the result to the engine.
func (s *EngineServer) fetch(ctx context.Context, request engineapi.FetchRequest) {
	s.mutex.Lock()
	store, address := s.store, s.storeAddress
	s.mutex.Unlock()
	err := error(structs.NewError(structs.ErrorUnavailable, "the engine has no weight store", "Call UseStore."))
	if store != nil {
		_, err = store.Fetch(ctx, address, request)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ctx.Err() != nil || s.closed {
		return
	}
	if err != nil {
		level.Warn(s.logger).Log("msg", "Checkpoint fetch failed.", "runner", request.Runner, "row", request.Row, "err", err)
	}
	input := EngineInput{Kind: InputFetched, Row: request.Row, Failed: err != nil}
	s.dispatch(s.engine.Step(s.clock.Now(), input))
}

// ask makes a call that has a single output and returns the output.
func (s *EngineServer) ask(ctx context.Context, input EngineInput) (EngineOutput, error) {
	call, queue := s.openCall(input)
	select {
	case <-queue.ready:
	case <-ctx.Done():
		s.endCall(call, true)
		return EngineOutput{}, errReset
	}
	s.endCall(call, false)
	output := s.take(queue)[0]
	switch output.Kind {
	case OutputReset:
		return output, errReset
	case OutputRefused:
		return output, &refusalError{refusal: *output.Refusal}
	}
	return output, nil
}

// ServeHTTP implements http.Handler.
func (s *EngineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler(r.URL.Path).ServeHTTP(w, r)
}
