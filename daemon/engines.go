package daemon

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// engineObserver reads the machine list and the engine reports for a zone leader.
type engineObserver struct {
	logger      log.Logger
	zone        structs.ZoneID
	machineList string
	engines     *engineapi.Client
	timing      config.Timing

	mutex    sync.Mutex
	machines []structs.Machine
	reports  map[structs.RunnerID]controller.ReportSeen
	schedule *controller.ReportSchedule
	// digests holds a digest of each report. shares assigns part of the reports to
	// routers to poll.
	digests map[structs.RunnerID]uint64
	shares  *controller.ReportShares
	awaited map[structs.RunnerID]bool
	// minimum is the number of machines from which routers share in polling.
	minimum int
	// machinesChanged is signalled when the machine list changes, replicasChanged when
	// a report shows other replicas or states than the previous one.
	machinesChanged notifier
	replicasChanged notifier
}

// maxReportReads bounds concurrent report reads.
const maxReportReads = 64

func newEngineObserver(logger log.Logger, zone structs.ZoneID, machineList string, engines *engineapi.Client, timing config.Timing) *engineObserver {
	return &engineObserver{
		logger:      log.With(logger, "component", "observer"),
		zone:        zone,
		machineList: machineList,
		engines:     engines,
		timing:      timing,
		reports:     map[structs.RunnerID]controller.ReportSeen{},
		shares:      controller.NewReportShares(0, timing.ReportInterval, controller.MinSharedRunners),
		schedule:    controller.NewReportSchedule(),
		digests:     map[structs.RunnerID]uint64{},
		minimum:     controller.MinSharedRunners,
	}
}

// run observes during one leadership term, until ctx is done.
func (o *engineObserver) run(ctx context.Context, epoch structs.Epoch) {
	o.mutex.Lock()
	// Readings of an earlier term are too old to act on.
	o.schedule = controller.NewReportSchedule()
	o.shares = controller.NewReportShares(epoch, o.timing.ReportInterval, o.minimum)
	o.mutex.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { o.listLoop(ctx) })
	loops.Go(func() { o.reportLoop(ctx) })
	loops.Wait()
}

func (o *engineObserver) listLoop(ctx context.Context) {
	unread := false
	var reader engineapi.MachineReader
	for {
		changes, err := o.engines.MachineChanges(ctx, o.machineList, o.zone, reader.Since())
		switch {
		case err == nil && unread:
			level.Info(o.logger).Log("msg", "The machine list is readable again.")
		case err != nil && !unread && ctx.Err() == nil:
			level.Warn(o.logger).Log("msg", "The machine list cannot be read.", "err", err)
		}
		unread = err != nil
		if err == nil {
			o.setMachines(reader.Take(changes))
		}
		if !pause.For(ctx, o.timing.MachineListInterval) {
			return
		}
	}
}

// setMachines stores the zone's machines and signals a change.
func (o *engineObserver) setMachines(machines []structs.Machine) {
	o.mutex.Lock()
	changed := !slices.Equal(o.machines, machines)
	o.machines = machines
	o.mutex.Unlock()
	if changed {
		o.machinesChanged.broadcast()
	}
}

// reportLoop reads the reports that are due at each interval, and those of new machines
// as soon as they are listed.
func (o *engineObserver) reportLoop(ctx context.Context) {
	next := time.NewTicker(o.timing.ReportInterval)
	defer next.Stop()
	for {
		changed := o.machinesChanged.wait()
		o.readReports(ctx, (*controller.ReportSchedule).New)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-next.C:
			o.readReports(ctx, (*controller.ReportSchedule).Due)
		}
	}
}

// setAwaited sets the runners whose reports are read at every interval.
func (o *engineObserver) setAwaited(runners map[structs.RunnerID]bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.awaited = runners
	o.schedule.Await(runners)
}

// handleRelay processes a router's relayed reports and returns its new share, or nil if
// the share is unchanged. It reports false if this observer does not lead in epoch.
func (o *engineObserver) handleRelay(epoch structs.Epoch, message structs.ReportRelay) (*structs.ReportShare, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.shares.IsForEpoch(epoch) {
		return nil, false
	}
	share := o.shares.HandleMessage(clock.Now(), message, o.machines)
	for _, changed := range message.Changed {
		// The outcome of an order is judged only by the leader's own readings.
		if seen, read := o.reports[changed.Runner]; read && o.digests[changed.Runner] == changed.Digest && !o.awaited[changed.Runner] {
			o.reports[changed.Runner] = controller.WithBusy(seen, changed)
		}
	}
	suspects := o.shares.Suspects(o.digests)
	o.schedule.Suspect(suspects)
	if len(suspects) > 0 {
		o.machinesChanged.broadcast()
	}
	return share, true
}

func (o *engineObserver) readReports(ctx context.Context, choose func(*controller.ReportSchedule, []structs.Machine) []structs.Machine) {
	o.mutex.Lock()
	o.schedule.Relay(o.shares.Relayed(clock.Now(), o.digests))
	due := choose(o.schedule, o.machines)
	o.mutex.Unlock()
	slots := make(chan struct{}, maxReportReads)
	var reads sync.WaitGroup
	for _, machine := range due {
		slots <- struct{}{}
		reads.Go(func() {
			o.readReport(ctx, machine)
			<-slots
		})
	}
	reads.Wait()
}

func (o *engineObserver) readReport(ctx context.Context, machine structs.Machine) {
	ctx, cancel := context.WithTimeout(ctx, o.timing.ReportInterval)
	defer cancel()
	askedAt := clock.Now()
	report, err := o.engines.Report(ctx, machine.Address)
	answered := err == nil && report.Runner == machine.Runner
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.schedule.Read(machine.Runner, answered)
	o.shares.Checked(machine.Runner)
	if !answered {
		return
	}
	o.digests[machine.Runner] = controller.ReportDigest(report)
	if !sameReplicas(o.reports[machine.Runner].Report, report) {
		o.replicasChanged.broadcast()
	}
	o.reports[machine.Runner] = controller.ReportSeen{Report: report, ReceivedAt: askedAt}
}

// sameReplicas reports whether the reports show the same replicas in the same states.
func sameReplicas(a, b structs.EngineReport) bool {
	return a.Incarnation == b.Incarnation && slices.EqualFunc(a.Replicas, b.Replicas, func(a, b structs.EngineReplica) bool {
		return a.Row == b.Row && a.State == b.State
	})
}

// observation is the known state of a zone's runners.
type observation struct {
	machines []structs.Machine
	reports  map[structs.RunnerID]controller.ReportSeen
	relayed  map[structs.RunnerID]time.Time
}

// observed returns a copy of the current observation.
func (o *engineObserver) observed() observation {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	relayed := o.shares.Relayed(clock.Now(), o.digests)
	return observation{slices.Clone(o.machines), maps.Clone(o.reports), relayed}
}

// hostOf returns the host and port of a validated URL.
func hostOf(checked string) string {
	parsed, err := url.Parse(checked)
	if err != nil {
		return checked
	}
	return parsed.Host
}
