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

// The methods of DaemonService.
const (
	methodDaemonDrain = "Daemon.Drain"
	methodDaemonState = "Daemon.State"
)

// DaemonService is the net/rpc service by which any daemon tells an operator about
// another one, or drains it. Its errors travel in the replies.
type DaemonService struct {
	daemon *Daemon
}

// DaemonDrainArguments start a drain, or end it.
type DaemonDrainArguments struct {
	Draining bool
}

// DaemonStateReply is what a daemon says of itself.
type DaemonStateReply struct {
	Draining bool
	// Open counts the callers' requests that the daemon has to finish.
	Open  int
	Roles []config.Role
	// Operators is where the daemon listens for operators.
	Operators string
	// TableRevision is the revision that the daemon works by.
	TableRevision uint64
	Error         *structs.Error
}

// Drain starts or ends a drain. It lasts until it is ended or the daemon stops.
func (s *DaemonService) Drain(arguments DaemonDrainArguments, reply *DaemonStateReply) error {
	if s.daemon.router == nil {
		reply.Error = structs.NewError(structs.ErrorInvalid, "the daemon "+string(s.daemon.config.Daemon)+" has no router, and so takes no callers' requests",
			"Drain a daemon with the role of a router.")
		return nil
	}
	s.daemon.router.setDrained(arguments.Draining)
	level.Info(s.daemon.logger).Log("component", "daemon", "msg", "An operator started or ended a drain.", "draining", arguments.Draining)
	return s.State(StatusArguments{}, reply)
}

// State says what the daemon is and does, and how far a drain is.
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

// drainedRefusal is the answer to a new request while an operator drains the daemon.
func drainedRefusal() structs.Rejection {
	problem := structs.NewError(structs.ErrorUnavailable, "this router is being drained by an operator",
		"Send the request to another router.")
	problem.RetryAfter = router.MinRetryAfter
	return structs.Rejection{Error: *problem, Execution: structs.ExecutionNotRun}
}

// drainDaemon starts or ends the drain of a daemon that the site lists, or of this one.
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
			"Look its name up in the status. A daemon that is only a router is not listed: name its own operators' address with --address.")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.client.Call(ctx, address, methodDaemonDrain, arguments, reply); err != nil {
		return structs.NewError(structs.ErrorUnavailable, "the daemon "+string(request.Daemon)+" does not answer: "+err.Error(),
			"Check that it runs and can be reached, then ask again.")
	}
	return structs.AsError(reply.Error)
}

// addresses gives the internal addresses of the daemons that the site lists.
func (s *operatorService) addresses() map[structs.DaemonID]string {
	addresses := map[structs.DaemonID]string{}
	for _, zone := range s.site.Zones {
		for _, member := range zone.Controllers {
			addresses[member.Daemon] = member.Address
		}
	}
	return addresses
}

// daemonStates asks all daemons that the site lists at once. Those that do not
// answer in time are left out.
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

// withStates adds what each daemon says of itself. One that does not answer keeps what
// the settings say of it.
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
