package daemon

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneStatusTimeout bounds a status query to one zone. A zone that exceeds it is shown
// as unreachable.
const zoneStatusTimeout = time.Second

// operatorService implements operatorapi.Service by calling the leader of the global
// group and the controllers of the zones.
type operatorService struct {
	site   config.Site
	client *transport.Client
	global *leadercall.Caller
	local  *DaemonService
}

// Table implements operatorapi.Service.
func (s *operatorService) Table(ctx context.Context) (operatorapi.TableView, error) {
	reply, err := leadercall.Call(ctx, s.global, methodGlobalTable, TableArguments{}, func() *TableReply { return &TableReply{} })
	if err != nil {
		return operatorapi.TableView{}, err
	}
	return operatorapi.TableView{Revision: reply.Revision, Rows: reply.Rows}, nil
}

// Apply implements operatorapi.Service.
func (s *operatorService) Apply(ctx context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error) {
	if dryRun {
		reply, err := leadercall.Call(ctx, s.global, methodGlobalCheck, CheckArguments{Edit: edit}, func() *CheckReply { return &CheckReply{} })
		if err != nil {
			return structs.EditResult{}, err
		}
		return reply.Result, nil
	}
	result, err := proposeGlobal(ctx, s.global, table.Command{Edit: &table.EditCommand{Edit: edit}})
	if err != nil {
		return structs.EditResult{}, err
	}
	if result.Edit == nil {
		return structs.EditResult{}, structs.AsError(result.Error)
	}
	return *result.Edit, nil
}

// History implements operatorapi.Service.
func (s *operatorService) History(ctx context.Context, limit int) ([]structs.HistoryEntry, error) {
	reply, err := leadercall.Call(ctx, s.global, methodGlobalHistory, HistoryArguments{Limit: limit}, func() *HistoryReply { return &HistoryReply{} })
	if err != nil {
		return nil, err
	}
	return reply.Entries, nil
}

// Watch implements operatorapi.Service. It polls any member that replies, for at most
// maxWait per call.
func (s *operatorService) Watch(ctx context.Context, since uint64, wait time.Duration) (operatorapi.TableChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+maxWait)
	defer cancel()
	end := time.Now().Add(wait)
	for {
		step := max(min(time.Until(end), maxWait), time.Millisecond)
		arguments := TableArguments{Since: since, Wait: step, Changes: true}
		reply, err := leadercall.Call(ctx, s.global, methodGlobalTable, arguments, func() *TableReply { return &TableReply{} })
		if err != nil {
			return operatorapi.TableChanges{}, err
		}
		if reply.Revision > since || time.Now().After(end) {
			return operatorapi.TableChanges{
				Since: since, Revision: reply.Revision, Full: reply.Full, Rows: reply.Rows, Deleted: reply.Deleted,
			}, nil
		}
	}
}

// Status implements operatorapi.Service.
func (s *operatorService) Status(ctx context.Context) (operatorapi.SiteStatus, error) {
	reply, err := leadercall.Call(ctx, s.global, methodGlobalStatus, StatusArguments{}, func() *GlobalStatusReply { return &GlobalStatusReply{} })
	if err != nil {
		return operatorapi.SiteStatus{}, err
	}
	inForce := map[structs.ZoneID]uint64{}
	for _, zone := range reply.Zones {
		inForce[zone.Zone] = zone.InForce
	}
	status := operatorapi.SiteStatus{Revision: reply.Revision, Zones: make([]structs.ZoneStatus, len(s.site.Zones))}
	states := make(chan map[structs.DaemonID]DaemonStateReply, 1)
	go func() { states <- s.daemonStates(ctx) }()
	done := make(chan struct{}, len(s.site.Zones))
	for i, zone := range s.site.Zones {
		go func() {
			status.Zones[i] = s.zoneStatus(ctx, zone, inForce[zone.ID])
			done <- struct{}{}
		}()
	}
	for range s.site.Zones {
		<-done
	}
	status.Daemons = withStates(s.daemons(reply.Leader, status.Zones), <-states)
	return status, nil
}

// zoneStatus queries the zone's controllers in turn. The revision in force is the one
// reported to the global group, which never exceeds that of the zone.
func (s *operatorService) zoneStatus(ctx context.Context, settings config.Zone, inForce uint64) structs.ZoneStatus {
	ctx, cancel := context.WithTimeout(ctx, zoneStatusTimeout)
	defer cancel()
	for _, member := range settings.Controllers {
		reply := &ZoneStatusReply{}
		err := s.client.Call(ctx, member.Address, methodZoneStatus, StatusArguments{}, reply)
		if err == nil && reply.Error == nil {
			reply.Status.TableRevision = inForce
			return reply.Status
		}
	}
	return structs.ZoneStatus{Zone: settings.ID, TableRevision: inForce}
}

func (s *operatorService) daemons(leader structs.DaemonID, zones []structs.ZoneStatus) []operatorapi.DaemonStatus {
	var list []operatorapi.DaemonStatus
	for i, zone := range s.site.Zones {
		for _, member := range zone.Controllers {
			list = append(list, operatorapi.DaemonStatus{
				Daemon:    member.Daemon,
				Zone:      zone.ID,
				Roles:     []string{string(config.RoleController)},
				LeadsSite: member.Daemon == leader,
				LeadsZone: member.Daemon == zones[i].Leader,
			})
		}
	}
	return list
}

// Drain implements operatorapi.Service. It finds the runner's zone by trying the zones
// in turn.
func (s *operatorService) Drain(ctx context.Context, request operatorapi.DrainRequest) error {
	if request.Daemon != "" {
		return s.drainDaemon(ctx, request)
	}
	encoded, err := zone.EncodeCommand(zone.Command{Drain: &zone.DrainCommand{Runner: request.Runner, Draining: !request.Cancel}})
	if err != nil {
		return err
	}
	var last error = structs.NewError(structs.ErrorNotFound, "no zone knows the runner "+string(request.Runner),
		"Name a runner of the platform's machine list.")
	for _, settings := range s.site.Zones {
		caller := leadercall.New(s.client, memberAddresses(settings.Controllers))
		zoneCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		reply, err := leadercall.Call(zoneCtx, caller, methodZonePropose, ProposeArguments{Command: encoded}, func() *ZoneReply { return &ZoneReply{} })
		cancel()
		switch {
		case err != nil:
			last = err
		case reply.Result.Error == nil:
			return nil
		case reply.Result.Error.Kind != structs.ErrorNotFound:
			return reply.Result.Error
		}
	}
	return last
}

// SaveSnapshot implements operatorapi.Service. It returns the contents of a snapshot
// file.
func (s *operatorService) SaveSnapshot(ctx context.Context, name string) ([]byte, error) {
	caller := s.groupCaller(name)
	if caller == nil {
		return nil, unknownGroupError(name)
	}
	arguments := DescribeArguments{Group: name}
	reply, err := leadercall.Call(ctx, caller, methodMemberBackup, arguments, func() *SaveReply { return &SaveReply{} })
	if err != nil {
		return nil, err
	}
	return logstore.EncodeSnapshotFile(reply.Snapshot, reply.Identity)
}

func proposeGlobal(ctx context.Context, caller *leadercall.Caller, command table.Command) (table.Result, error) {
	encoded, err := table.EncodeCommand(command)
	if err != nil {
		return table.Result{}, err
	}
	reply, err := leadercall.Call(ctx, caller, methodGlobalPropose, ProposeArguments{Command: encoded}, func() *GlobalReply { return &GlobalReply{} })
	if err != nil {
		return table.Result{}, err
	}
	return reply.Result, nil
}

func memberAddresses(members []config.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
