package hollow

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// electionTime is granted to the groups before the table is sent.
	electionTime = 5 * time.Second
	// bootstrapLimit bounds the virtual time until table and replicas are there.
	bootstrapLimit = 10 * time.Minute
	// gcPercent keeps the garbage small beside the state.
	gcPercent = 40
	// readyShare is the part of the least replicas that must be ready before the load.
	readyShare = 0.98
	// step is the virtual time between two looks at the site as a whole.
	step = time.Second
	// settleLimit bounds the virtual time after the load in which requests end and
	// the last edits reach everybody.
	settleLimit = 45 * time.Second
)

// run is a site on its way through the phases of one run.
type run struct {
	*site
	ctx      context.Context
	progress io.Writer
	began    time.Time
	report   Report
	// loadFrom is when the load began.
	loadFrom int64
}

// Run runs a hollow site and reports what it measured. Progress gets a line for
// each phase. The error is of kind invalid for options that make no site, and of
// kind deadline when the site did not come up.
func Run(ctx context.Context, options Options, progress io.Writer) (Report, error) {
	laid, err := newSite(options)
	if err != nil {
		return Report{}, err
	}
	defer laid.clock.close()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(laid.options.MemoryBytes))
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r := &run{site: laid, ctx: ctx, progress: progress, began: time.Now()}
	r.describe()
	if err := r.bootstrap(); err != nil {
		return r.report, err
	}
	r.load()
	r.settle()
	r.report.Violations = r.check()
	r.report.Memory = r.measureMemory()
	return r.report, ctx.Err()
}

func (r *run) say(format string, arguments ...any) {
	fmt.Fprintf(r.progress, "%6.1f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

func (r *run) describe() {
	options := r.options
	full := 0
	for _, zone := range r.zones {
		routers := 0
		for _, p := range zone.processes {
			if !p.isControl {
				routers++
			}
		}
		full += min(routers, options.FullTableRouters)
	}
	r.report = Report{
		Seed: options.Seed, Regions: options.Regions, Zones: options.Zones, Daemons: options.Daemons,
		Controls: options.Controls, Runners: options.Runners, Accelerators: options.Runners * options.AcceleratorsPerRunner,
		Rows: len(r.rows), FullTableRouters: full, Share: options.Share,
	}
}

// bootstrap elects leaders, sends the whole table and waits for the least replicas.
func (r *run) bootstrap() error {
	began := time.Now()
	for _, zone := range r.zones {
		zone.openBox()
	}
	r.openGlobalGroup()
	r.openZoneGroups()
	r.openRouters()
	r.operator = newOperator(r.site)
	r.clock.advance(electionTime)
	r.operator.registerZones()
	if err := r.await("the zones are registered", func() bool { return r.operator.zones == len(r.zones) }); err != nil {
		return err
	}
	sentAt := r.clock.now
	r.operator.bootstrap(0)
	if err := r.await("the table is in force", r.tableInForce); err != nil {
		return err
	}
	r.report.TableSeconds = time.Duration(r.clock.now - sentAt).Seconds()
	if err := r.await("the least replicas are ready", r.replicasReady); err != nil {
		return err
	}
	r.report.BootstrapSeconds = time.Duration(r.clock.now).Seconds()
	r.report.BootstrapRealSeconds = time.Since(began).Seconds()
	return nil
}

// await lets time pass until the condition holds.
func (r *run) await(what string, condition func() bool) error {
	for limit := r.clock.now + int64(bootstrapLimit); !condition(); {
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		if r.clock.now >= limit {
			return structs.NewError(structs.ErrorDeadline, "the hollow site did not come up: waited for: "+what,
				"Run a smaller site, and look at what its zones lack.")
		}
		r.clock.advance(step)
	}
	r.say("at %.0f s of virtual time %s", time.Duration(r.clock.now).Seconds(), what)
	return nil
}

func (r *run) tableInForce() bool {
	if len(r.operator.rows) < len(r.rows) {
		return false
	}
	revision := r.operator.edits[len(r.operator.edits)-1].revision
	for _, zone := range r.zones {
		if _, reached := reachedAt(zone.box.inForce, revision); !reached {
			return false
		}
	}
	return true
}

// replicasReady counts the ready replicas of models in the zones' states.
func (r *run) replicasReady() bool {
	r.report.ReplicasReady = 0
	for _, zone := range r.zones {
		for _, replica := range zone.voters[0].member.machine.state.Replicas() {
			if replica.State == structs.ReplicaReady {
				r.report.ReplicasReady++
			}
		}
	}
	return float64(r.report.ReplicasReady) >= readyShare*float64(r.options.Models*len(r.zones))
}

// load carries requests, edits and faults and measures meanwhile.
func (r *run) load() {
	for _, zone := range r.zones {
		zone.box.storeBudget = runningLoads
		zone.prepare()
		zone.startLoad()
	}
	r.operator.startEdits(r.options.Duration / 2)
	r.report.Faults = r.planFaults()
	ready, removed := r.countLoads()
	from := r.mark()
	r.loadFrom = from.at
	end := r.clock.now + int64(r.options.Duration)
	for r.clock.now < end && r.ctx.Err() == nil {
		if time.Since(r.began) > r.options.RealLimit {
			r.report.CutShort = true
			break
		}
		r.clock.advance(min(step, time.Duration(end-r.clock.now)))
	}
	to := r.mark()
	for _, zone := range r.zones {
		zone.load.running = false
	}
	r.operator.running = false
	readyAfter, removedAfter := r.countLoads()
	r.report.LoadsDone, r.report.UnloadsDone = readyAfter-ready, removedAfter-removed
	r.report.LoadSeconds = time.Duration(to.at - from.at).Seconds()
	r.report.LoadRealSeconds = to.real.Sub(from.real).Seconds()
	r.report.ProcessCPUSeconds = (to.cpu - from.cpu).Seconds()
	r.report.Events = to.events - from.events
	r.report.Bytes, r.report.BytesByKind = r.measureBytes(from, to)
	r.report.Cost = measureCost(from, to)
	r.say("the load is over after %.0f s of virtual time", r.report.LoadSeconds)
}

// countLoads returns how many replicas became ready and how many ended so far.
func (r *run) countLoads() (ready, removed int) {
	for _, zone := range r.zones {
		for _, node := range zone.runners {
			node.tracker.read(node)
			ready += node.tracker.ready
			for _, edge := range node.tracker.edges {
				if edge.change < 0 {
					removed++
				}
			}
		}
	}
	return ready, removed
}

// settle lets the requests end and the last edits reach every zone, then sums up.
func (r *run) settle() {
	for end := r.clock.now + int64(settleLimit); r.clock.now < end && !r.settled(); {
		r.clock.advance(step)
	}
	r.report.Requests = r.sumRequests(r.report.LoadSeconds)
	r.report.Edits = r.sumEdits(r.loadFrom)
	r.say("settled at %.0f s of virtual time", time.Duration(r.clock.now).Seconds())
}

func (r *run) settled() bool {
	if r.operator.open > 0 {
		return false
	}
	newest := uint64(0)
	for _, owner := range r.globals {
		newest = max(newest, owner.global.table.state.Revision())
	}
	for _, zone := range r.zones {
		if zone.load.open > 0 {
			return false
		}
		for _, owner := range zone.voters {
			if owner.member.machine.state.TableRevision() < newest || owner.member.node.Leader() == raft.None {
				return false
			}
		}
	}
	return true
}
