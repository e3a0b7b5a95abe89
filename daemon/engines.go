package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/controller"
	"github.com/lotusferry/lotusferry/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// engineObserver reads the machine list and the engines' reports for a zone
// leader.
type engineObserver struct {
	logger      log.Logger
	zone        structs.ZoneID
	machineList string
	engines     *engineapi.Client
	timing      config.Timing

	mutex    sync.Mutex
	machines []structs.Machine
	reports  map[structs.RunnerID]controller.ReportSeen
	changed  notifier
}

// maxReportReads bounds the report reads under way at once.
const maxReportReads = 64

func newEngineObserver(logger log.Logger, zone structs.ZoneID, machineList string, engines *engineapi.Client, timing config.Timing) *engineObserver {
	return &engineObserver{
		logger:      log.With(logger, "component", "observer"),
		zone:        zone,
		machineList: machineList,
		engines:     engines,
		timing:      timing,
		reports:     map[structs.RunnerID]controller.ReportSeen{},
	}
}

// run observes until ctx ends.
func (o *engineObserver) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { o.listLoop(ctx) })
	loops.Go(func() { o.reportLoop(ctx) })
	loops.Wait()
}

func (o *engineObserver) listLoop(ctx context.Context) {
	for {
		machines, err := o.engines.Machines(ctx, o.machineList)
		if err != nil {
			level.Warn(o.logger).Log("msg", "The machine list could not be read.", "err", err)
		} else {
			o.keepMachines(machines)
		}
		if !pause(ctx, o.timing.MachineListInterval) {
			return
		}
	}
}

// keepMachines keeps the zone's own machines.
func (o *engineObserver) keepMachines(machines []structs.Machine) {
	own := slices.DeleteFunc(machines, func(machine structs.Machine) bool { return machine.Zone != o.zone })
	o.mutex.Lock()
	o.machines = own
	o.mutex.Unlock()
	o.changed.broadcast()
}

func (o *engineObserver) reportLoop(ctx context.Context) {
	for {
		changed := o.changed.wait()
		o.readReports(ctx)
		timer := time.NewTimer(o.timing.ReportInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (o *engineObserver) readReports(ctx context.Context) {
	machines, _ := o.observed()
	slots := make(chan struct{}, maxReportReads)
	var reads sync.WaitGroup
	for _, machine := range machines {
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
	report, err := o.engines.Report(ctx, machine.Address)
	if err != nil || report.Runner != machine.Runner {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reports[machine.Runner] = controller.ReportSeen{Report: report, ReceivedAt: time.Now()}
}

// observed returns copies of what is known.
func (o *engineObserver) observed() ([]structs.Machine, map[structs.RunnerID]controller.ReportSeen) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.machines), maps.Clone(o.reports)
}
