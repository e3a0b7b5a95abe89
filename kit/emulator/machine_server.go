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

// MachineServer serves a MachineList over HTTP, driven by a Clock.
type MachineServer struct {
	logger log.Logger
	clock  *Clock
	mux    *http.ServeMux
	// instance distinguishes the versions of this server from those of an earlier one.
	instance string

	mutex sync.Mutex
	list  *MachineList
}

// versionSeparator separates the server instance from the list revision in a version.
const versionSeparator = "."

// NewMachineServer returns a server of the list and takes ownership of it.
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

// listQuery selects the list of a zone, or of all zones if zone is empty, and optionally
// only the changes after a version.
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

// changes returns the changes after the version in the query. An invalid version, or one
// of another server instance, yields the full list.
func (s *MachineServer) changes(query listQuery) engineapi.MachineChanges {
	var since uint64
	instance, revision, _ := strings.Cut(query.since, versionSeparator)
	if instance == s.instance {
		// An invalid number parses as 0, which requests the full list.
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
	level.Info(s.logger).Log("msg", "Machine is leaving.", "runner", request.Runner, "gone", request.Gone)
	return struct{}{}, nil
}
