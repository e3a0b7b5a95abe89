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

// EngineServer serves an Engine over HTTP in the machine's time. Many of them
// share a process; an idle one has no goroutine.
type EngineServer struct {
	logger log.Logger
	clock  *Clock

	mutex  sync.Mutex
	engine *Engine
	alarm  alarm
	calls  map[CallID]*callQueue
	last   CallID
	closed bool
	// life is cancelled when the engine dies, and with it its fetches.
	life    context.Context
	endLife context.CancelFunc

	store        *engineapi.Client
	storeAddress string
}

// callQueue holds the outputs of one call that its handler has not taken yet.
type callQueue struct {
	outputs []EngineOutput
	// ready holds a value while outputs is not empty.
	ready chan struct{}
}

// NewEngineServer makes the server of an engine, which nobody else may use from
// then on but through the server. Close it after use.
func NewEngineServer(logger log.Logger, engine *Engine, clock *Clock) *EngineServer {
	s := &EngineServer{logger: log.With(logger, "component", "engine"), clock: clock, engine: engine}
	s.alarm = alarm{clock: clock, fire: s.advance}
	s.life, s.endLife = context.WithCancel(context.Background())
	return s
}

// UseStore lets the engine fetch checkpoints from the weight store at address.
// Without it, and without EngineOptions.FetchTime, all fetches fail.
func (s *EngineServer) UseStore(client *engineapi.Client, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store = client
	s.storeAddress = address
}

// Engine calls use with the engine while nothing else happens to it, and then
// sends out what it did.
func (s *EngineServer) Engine(use func(engine *Engine, now time.Time) []EngineOutput) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(use(s.engine, s.clock.Now()))
}

// Crash kills the engine: all its connections are cut until Restart.
func (s *EngineServer) Crash() {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		return engine.Step(now, EngineInput{Kind: InputCrash})
	})
}

// Restart begins the engine's next life; 0 means the incarnation after the last.
func (s *EngineServer) Restart(incarnation structs.Incarnation) {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		option.Default(&incarnation, engine.Incarnation()+1)
		return engine.Restart(now, incarnation)
	})
}

// SetFaults replaces the engine's faults.
func (s *EngineServer) SetFaults(faults EngineFaults) {
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		outputs := engine.Advance(now)
		engine.SetFaults(faults)
		return outputs
	})
}

// Close stops the server: calls under way are reset.
func (s *EngineServer) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.resetCalls()
	s.alarm.stop()
	s.endLife()
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

// open begins a call and gives its input to the engine.
func (s *EngineServer) open(input EngineInput) (CallID, *callQueue) {
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

// end forgets a call. With gone set its caller left before the answer's end.
func (s *EngineServer) end(call CallID, gone bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, call)
	if gone && !s.closed {
		s.dispatch(s.engine.Step(s.clock.Now(), EngineInput{Kind: InputDisconnect, Call: call}))
	}
}

// take returns the outputs of a call that wait.
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

// dispatch hands outputs to their calls and sets the alarm.
func (s *EngineServer) dispatch(outputs []EngineOutput) {
	for _, output := range outputs {
		switch output.Kind {
		case OutputDied:
			level.Warn(s.logger).Log("msg", "The engine died.", "runner", s.engine.options.Runner)
			s.resetCalls()
			s.endLife()
			s.life, s.endLife = context.WithCancel(context.Background())
		case OutputFetch:
			go s.fetch(s.life, *output.Fetch)
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

// fetch reads a checkpoint from the weight store and tells the engine.
func (s *EngineServer) fetch(life context.Context, request engineapi.FetchRequest) {
	s.mutex.Lock()
	store, address := s.store, s.storeAddress
	s.mutex.Unlock()
	err := error(structs.NewError(structs.ErrorUnavailable, "the engine has no weight store", "Call UseStore."))
	if store != nil {
		_, err = store.Fetch(life, address, request)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if life.Err() != nil || s.closed {
		return
	}
	if err != nil {
		level.Warn(s.logger).Log("msg", "A checkpoint could not be fetched.", "runner", request.Runner, "row", request.Row, "err", err)
	}
	input := EngineInput{Kind: InputFetched, Row: request.Row, Failed: err != nil}
	s.dispatch(s.engine.Step(s.clock.Now(), input))
}

// ask makes a call with one output and returns it.
func (s *EngineServer) ask(ctx context.Context, input EngineInput) (EngineOutput, error) {
	call, queue := s.open(input)
	select {
	case <-queue.ready:
	case <-ctx.Done():
		s.end(call, true)
		return EngineOutput{}, errReset
	}
	s.end(call, false)
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
