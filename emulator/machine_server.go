package emulator

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// MachineServer serves a MachineList over HTTP in the machine's time.
type MachineServer struct {
	logger log.Logger
	clock  *Clock
	mux    *http.ServeMux

	mutex sync.Mutex
	list  *MachineList
}

// NewMachineServer makes the server of a list, which nobody else may use from then on.
func NewMachineServer(logger log.Logger, list *MachineList, clock *Clock) *MachineServer {
	s := &MachineServer{logger: log.With(logger, "component", "machines"), clock: clock, list: list, mux: http.NewServeMux()}
	s.mux.Handle("GET "+engineapi.PathMachineList, newHandler(decodeZone, s.serveList))
	s.mux.Handle("POST "+engineapi.PathMachineLeave, newHandler(decodeBody[engineapi.LeaveRequest], s.serveLeave))
	return s
}

// ServeHTTP implements http.Handler.
func (s *MachineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put adds or replaces a machine.
func (s *MachineServer) Put(machine structs.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list.Put(s.clock.Now(), machine)
}

// decodeZone reads the zone that is asked for; "" means all.
func decodeZone(request *http.Request) (structs.ZoneID, error) {
	return structs.ZoneID(request.URL.Query().Get(engineapi.QueryZone)), nil
}

func (s *MachineServer) serveList(_ context.Context, zone structs.ZoneID) ([]structs.Machine, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machines := s.list.List(s.clock.Now())
	if zone != "" {
		machines = slices.DeleteFunc(machines, func(machine structs.Machine) bool { return machine.Zone != zone })
	}
	return machines, nil
}

func (s *MachineServer) serveLeave(_ context.Context, request engineapi.LeaveRequest) (struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change := s.list.Leave
	if request.Gone {
		change = s.list.Remove
	}
	if !change(s.clock.Now(), request.Runner) {
		unknown := structs.NewError(structs.ErrorNotFound, "the machine is not on the list", "check the runner's name")
		return struct{}{}, &refusalError{refusal: *notRun(unknown)}
	}
	level.Info(s.logger).Log("msg", "A machine leaves.", "runner", request.Runner, "gone", request.Gone)
	return struct{}{}, nil
}
