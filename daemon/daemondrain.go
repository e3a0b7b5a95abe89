package daemon

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	methodDaemonDrain = "Daemon.Drain"
	methodDaemonState = "Daemon.State"
)

// DaemonService is the net/rpc service that reports a daemon's state and drains it.
// Errors are returned in the replies.
type DaemonService struct {
	daemon *Daemon
}

// DaemonDrainArguments starts or ends a drain.
type DaemonDrainArguments struct {
	Draining bool
}

// DaemonStateReply is the state of a daemon.
type DaemonStateReply struct {
	Draining bool
	// Open is the number of callers' requests in progress.
	Open  int
	Roles []config.Role
	// Operators is the address of the operator API.
	Operators string
	// TableRevision is the table revision in force at the daemon.
	TableRevision uint64
	Error         *structs.Error
}

// Drain starts or ends a drain, which otherwise lasts until the daemon stops.
func (s *DaemonService) Drain(arguments DaemonDrainArguments, reply *DaemonStateReply) error {
	if s.daemon.router == nil {
		reply.Error = structs.NewError(structs.ErrorInvalid, "the daemon "+string(s.daemon.config.Daemon)+" has no router role and does not accept requests from callers",
			"Drain a daemon that has the router role.")
		return nil
	}
	s.daemon.router.setDrained(arguments.Draining)
	level.Info(s.daemon.logger).Log("component", "daemon", "msg", "An operator started or ended a drain.", "draining", arguments.Draining)
	return s.State(StatusArguments{}, reply)
}

// State returns the daemon's roles, addresses and drain progress.
func (s *DaemonService) State(_ StatusArguments, reply *DaemonStateReply) error {
	settings := s.daemon.config
	reply.Roles = settings.Roles
	reply.Operators = settings.Listen.Operators
	if s.daemon.router != nil {
		reply.Draining = s.daemon.router.isDrained()
		reply.Open = s.daemon.router.openCalls()
	}
	if s.daemon.zone != nil {
		reply.TableRevision = s.daemon.zone.tableRevision()
	}
	return nil
}

func (r *requestRouter) setDrained(drained bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drained = drained
}

func (r *requestRouter) isDrained() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.drained
}

// drainedRefusal is the refusal of new requests while an operator drains the daemon.
func drainedRefusal() structs.Rejection {
	problem := structs.NewError(structs.ErrorUnavailable, "this router is being drained by an operator",
		"Send the request to another router.")
	problem.RetryAfter = router.MinRetryAfter
	return structs.Rejection{Error: *problem, Execution: structs.ExecutionNotRun}
}

// drainDaemon starts or ends a drain of this daemon or of one listed by the site.
func (s *operatorService) drainDaemon(ctx context.Context, request operatorapi.DrainRequest) error {
	arguments := DaemonDrainArguments{Draining: !request.Cancel}
	reply := &DaemonStateReply{}
	if request.Daemon == s.local.daemon.config.Daemon {
		if err := s.local.Drain(arguments, reply); err != nil {
			return err
		}
		return structs.AsError(reply.Error)
	}
	address, known := s.addresses()[request.Daemon]
	if !known {
		return structs.NewError(structs.ErrorNotFound, "the site lists no daemon "+string(request.Daemon),
			"Look up its name in the status. A daemon that is only a router is not listed: pass the address of its operator API with --address.")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.client.Call(ctx, address, methodDaemonDrain, arguments, reply); err != nil {
		return structs.NewError(structs.ErrorUnavailable, "the daemon "+string(request.Daemon)+" does not reply: "+err.Error(),
			"Check that it is running and reachable, then retry.")
	}
	return structs.AsError(reply.Error)
}

// addresses returns the internal addresses of the daemons listed by the site.
func (s *operatorService) addresses() map[structs.DaemonID]string {
	addresses := map[structs.DaemonID]string{}
	for _, zone := range s.site.Zones {
		for _, member := range zone.Controllers {
			addresses[member.Daemon] = member.Address
		}
	}
	return addresses
}

// daemonStates queries all daemons listed by the site concurrently. The result omits
// those that do not reply in time.
func (s *operatorService) daemonStates(ctx context.Context) map[structs.DaemonID]DaemonStateReply {
	ctx, cancel := context.WithTimeout(ctx, zoneStatusTimeout)
	defer cancel()
	var mutex sync.Mutex
	var asked sync.WaitGroup
	states := map[structs.DaemonID]DaemonStateReply{}
	for daemon, address := range s.addresses() {
		asked.Go(func() {
			reply := DaemonStateReply{}
			if err := s.client.Call(ctx, address, methodDaemonState, StatusArguments{}, &reply); err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			states[daemon] = reply
		})
	}
	asked.Wait()
	return states
}

// withStates merges the reported states into daemons. A daemon without one keeps the
// values from the settings.
func withStates(daemons []operatorapi.DaemonStatus, states map[structs.DaemonID]DaemonStateReply) []operatorapi.DaemonStatus {
	for i := range daemons {
		state, answered := states[daemons[i].Daemon]
		daemons[i].Reachable = answered
		if !answered {
			continue
		}
		daemons[i].Roles = nil
		for _, role := range state.Roles {
			daemons[i].Roles = append(daemons[i].Roles, string(role))
		}
		daemons[i].Address = state.Operators
		daemons[i].TableRevision = state.TableRevision
		daemons[i].Draining = state.Draining
		daemons[i].OpenRequests = state.Open
	}
	return daemons
}
