package emulator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// MachineServer serves a MachineList over HTTP in the machine's time.
type MachineServer struct {
	logger log.Logger
	clock  *Clock
	mux    *http.ServeMux
	// instance tells this server's versions from those of an earlier one.
	instance string

	mutex sync.Mutex
	list  *MachineList
}

// versionSeparator stands between a server's instance and the list's revision.
const versionSeparator = "."

// NewMachineServer makes the server of a list, which nobody else may use from then on.
func NewMachineServer(logger log.Logger, list *MachineList, clock *Clock) *MachineServer {
	s := &MachineServer{logger: log.With(logger, "component", "machines"), clock: clock, list: list, mux: http.NewServeMux(), instance: uuid.NewString()}
	s.mux.Handle("GET "+engineapi.PathMachineList, newHandler(decodeListQuery, s.serveList))
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

// listQuery is what is asked of the list: a zone's part or, for "", all; and the
// changes after a version when asked for.
type listQuery struct {
	zone    structs.ZoneID
	changes bool
	since   string
}

func decodeListQuery(request *http.Request) (listQuery, error) {
	query := request.URL.Query()
	return listQuery{
		zone:    structs.ZoneID(query.Get(engineapi.QueryZone)),
		changes: query.Has(engineapi.QuerySince),
		since:   query.Get(engineapi.QuerySince),
	}, nil
}

func (s *MachineServer) serveList(_ context.Context, query listQuery) (any, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if query.changes {
		return s.changes(query), nil
	}
	zone := query.zone
	machines := s.list.List(s.clock.Now())
	if zone != "" {
		machines = slices.DeleteFunc(machines, func(machine structs.Machine) bool { return machine.Zone != zone })
	}
	return machines, nil
}

// changes answers a read of changes. A version of another server, or one that is not
// understood, is answered with the whole list.
func (s *MachineServer) changes(query listQuery) engineapi.MachineChanges {
	var since uint64
	instance, revision, _ := strings.Cut(query.since, versionSeparator)
	if instance == s.instance {
		// What is no number is 0, which asks for all.
		since, _ = strconv.ParseUint(revision, 10, 64)
	}
	changes, shown := s.list.Changes(s.clock.Now(), query.zone, since)
	changes.Version = s.instance + versionSeparator + strconv.FormatUint(shown, 10)
	return changes
}

func (s *MachineServer) serveLeave(_ context.Context, request engineapi.LeaveRequest) (struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change := s.list.Leave
	if request.Gone {
		change = s.list.Remove
	}
	if !change(s.clock.Now(), request.Runner) {
		unknown := structs.NewError(structs.ErrorNotFound, "the machine is not on the list", "Check the runner's name.")
		return struct{}{}, &refusalError{refusal: *notRun(unknown)}
	}
	level.Info(s.logger).Log("msg", "A machine leaves.", "runner", request.Runner, "gone", request.Gone)
	return struct{}{}, nil
}
