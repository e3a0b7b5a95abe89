package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// StoreServer serves a Store over HTTP, driven by a Clock.
type StoreServer struct {
	logger log.Logger
	clock  *Clock
	mux    *http.ServeMux

	mutex sync.Mutex
	store *Store
	alarm alarm
	calls map[CallID]chan StoreOutput
	last  CallID
}

// NewStoreServer returns a server of the store and takes ownership of it.
func NewStoreServer(logger log.Logger, store *Store, clock *Clock) *StoreServer {
	s := &StoreServer{logger: log.With(logger, "component", "store"), clock: clock, store: store, calls: make(map[CallID]chan StoreOutput), mux: http.NewServeMux()}
	s.alarm = alarm{clock: clock, fire: s.advance}
	s.mux.Handle("POST "+engineapi.PathStoreFetch, newHandler(decodeBody[engineapi.FetchRequest], s.serveFetch))
	s.mux.Handle("GET "+engineapi.PathStoreState, newHandler(noBody, s.serveState))
	s.mux.Handle("POST "+PathFaults, newHandler(decodeBody[StoreFaults], s.serveFaults))
	return s
}

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults of the store.
func (s *StoreServer) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(s.store.SetFaults(s.clock.Now(), faults))
}

func (s *StoreServer) advance() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.alarm.at = time.Time{}
	s.dispatch(s.store.Advance(s.clock.Now()))
}

func (s *StoreServer) dispatch(outputs []StoreOutput) {
	for _, output := range outputs {
		if call := s.calls[output.Call]; call != nil {
			call <- output
			delete(s.calls, output.Call)
		}
	}
	s.alarm.set(s.store.NextEvent())
}

func (s *StoreServer) serveFetch(ctx context.Context, request engineapi.FetchRequest) (engineapi.FetchReply, error) {
	if request.Row == "" || request.SizeBytes <= 0 {
		return engineapi.FetchReply{}, invalidRequest("the fetch lacks a row or a size")
	}
	s.mutex.Lock()
	s.last++
	call := s.last
	ended := make(chan StoreOutput, 1)
	s.calls[call] = ended
	s.dispatch(s.store.Fetch(s.clock.Now(), call, request))
	s.mutex.Unlock()
	select {
	case output := <-ended:
		if output.Failed {
			level.Warn(s.logger).Log("msg", "Checkpoint read failed.", "row", request.Row, "runner", request.Runner)
			failure := structs.NewError(structs.ErrorUnavailable, "the checkpoint read failed", "Retry the fetch.")
			return engineapi.FetchReply{}, &refusalError{refusal: structs.Rejection{Error: *failure}}
		}
		return output.Reply, nil
	case <-ctx.Done():
		s.cancel(call)
		return engineapi.FetchReply{}, errReset
	}
}

func (s *StoreServer) cancel(call CallID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, call)
	s.dispatch(s.store.Cancel(s.clock.Now(), call))
}

func (s *StoreServer) serveState(context.Context, struct{}) (engineapi.StoreState, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(s.store.Advance(s.clock.Now()))
	return s.store.State(), nil
}

func (s *StoreServer) serveFaults(_ context.Context, faults StoreFaults) (struct{}, error) {
	s.SetFaults(faults)
	return struct{}{}, nil
}
