package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// decider is the working state of one Decide.
type decider struct {
	core      *Core
	input     Input
	decisions Decisions
	// leaving holds the runners that the machine list shows as leaving, which the zone log may
	// not yet record.
	leaving map[structs.RunnerID]bool
	// silent holds the runners without recent reports.
	silent map[structs.RunnerID]bool
	// records are the records of the state; decisions do not change them.
	*records
}

func newDecider(core *Core, input Input) *decider {
	core.records.update(input.State)
	return &decider{core: core, input: input, leaving: map[structs.RunnerID]bool{}, records: &core.records}
}

func (d *decider) propose(command zone.Command) {
	d.decisions.Commands = append(d.decisions.Commands, command)
}

// report returns the runner's report, and whether it is of the incarnation.
func (d *decider) report(runner structs.RunnerID, incarnation structs.Incarnation) (ReportSeen, bool) {
	seen, ok := d.input.Reports[runner]
	return seen, ok && seen.Report.Incarnation == incarnation
}

// registerRunners proposes the changes of runners that the machine list and reports show.
func (d *decider) registerRunners() {
	machines := d.zoneMachines()
	d.findSilent()
	for _, machine := range machines {
		d.registerRunner(machine)
	}
	d.recordUnlistedSilence(machines)
}

// zoneMachines returns the zone's machines sorted by runner. The last of several entries
// of one runner counts.
func (d *decider) zoneMachines() []structs.Machine {
	machines := make([]structs.Machine, 0, len(d.input.Machines))
	for _, machine := range d.input.Machines {
		if machine.Zone == d.input.State.Zone() {
			machines = append(machines, machine)
		}
	}
	slices.SortStableFunc(machines, compareMachines)
	slices.Reverse(machines)
	machines = slices.CompactFunc(machines, func(a, b structs.Machine) bool { return a.Runner == b.Runner })
	slices.Reverse(machines)
	return machines
}

func compareMachines(a, b structs.Machine) int { return cmp.Compare(a.Runner, b.Runner) }

// accepting reports whether the runner may get new work.
func (d *decider) accepting(runner zone.Runner) bool {
	return runner.Accepting() && !d.leaving[runner.ID]
}

func (d *decider) registerRunner(machine structs.Machine) {
	known, registered := d.input.State.Runner(machine.Runner)
	info := known.RunnerInfo
	seen, reported := d.input.Reports[machine.Runner]
	if !reported && !registered {
		return
	}
	if reported && seen.Report.Incarnation >= known.Incarnation {
		info.Role = seen.Report.Role
		info.Incarnation = seen.Report.Incarnation
		info.MemoryBytes = seen.Report.MemoryBytes
		info.Accelerators = seen.Report.Accelerators
	}
	info.ID = machine.Runner
	info.Zone = machine.Zone
	info.Address = machine.Address
	info.Leaving = machine.State == structs.MachineLeaving
	info.Silent = d.silent[machine.Runner]
	d.leaving[machine.Runner] = info.Leaving
	if !registered || info != known.RunnerInfo {
		d.propose(zone.Command{Runner: &zone.RunnerCommand{Info: info}})
	}
}

// snapshot returns the planner's view of the state.
func (d *decider) snapshot() scheduler.Snapshot {
	state := d.input.State
	snapshot := scheduler.Snapshot{
		Now:             d.input.Now,
		Table:           state,
		StoreLoadBudget: d.input.StoreBudget,
		Settings:        d.core.options.Settings,
		Interarrivals:   map[structs.RowName]*scheduler.Interarrivals{},
		Runners:         d.core.buffers.runners[:0],
		Replicas:        d.core.buffers.replicas[:0],
	}
	for _, runner := range d.runners {
		view := d.runnerView(runner)
		snapshot.Runners = append(snapshot.Runners, view)
		if view.Prefetching != "" {
			snapshot.StoreLoadsInFlight++
		}
	}
	rows := map[structs.RowName]bool{}
	for _, replica := range d.replicas {
		snapshot.Replicas = append(snapshot.Replicas, d.replicaView(replica))
		rows[replica.Row] = true
		if replica.State == structs.ReplicaLoading && d.readsStore(replica) {
			snapshot.StoreLoadsInFlight++
		}
	}
	d.core.buffers = snapshotBuffers{snapshot.Runners, snapshot.Replicas}
	d.core.demand.usageHistory.MarkObserved(d.input.Now)
	snapshot.Expected = d.core.demand.usageHistory.ExpectedSoon(d.input.Now)
	snapshot.Demand = d.core.demand.collect(d.input.Now, d.core.options.DemandAfter, rows)
	for _, demand := range snapshot.Demand {
		if use := d.core.demand.uses[demand.Row]; use != nil {
			snapshot.Interarrivals[demand.Row] = &use.gaps
		}
	}
	return snapshot
}

func (d *decider) runnerView(runner zone.Runner) scheduler.Runner {
	options := d.core.options
	seen, ok := d.report(runner.ID, runner.Incarnation)
	silence := d.silentFor(runner)
	return scheduler.Runner{
		ID:             runner.ID,
		Role:           runner.Role,
		Incarnation:    runner.Incarnation,
		MemoryBytes:    runner.MemoryBytes,
		MemoryReserved: d.input.State.MemoryReserved(runner.ID),
		Leaving:        !d.accepting(runner) || silence > options.VanishedAfter,
		Lagging:        !ok || silence > options.LaggingAfter,
		Cached:         seen.Report.Cached,
		Prefetching:    d.prefetching(runner),
	}
}

func (d *decider) replicaView(replica zone.Replica) scheduler.Replica {
	view := scheduler.Replica{
		Row:         replica.Row,
		Base:        replica.Base,
		Runner:      replica.Runner,
		State:       replica.State,
		MemoryBytes: replica.MemoryBytes,
		Since:       replica.Since,
	}
	if seen, ok := d.report(replica.Runner, replica.Incarnation); ok {
		if engine, shown := findReplica(seen.Report, replica); shown {
			view.Busy = engine.Running + engine.Queued
		}
	}
	return view
}

// readsStore reports whether the loading replica reads the weight store by itself, rather
// than through its runner's prefetch.
func (d *decider) readsStore(replica zone.Replica) bool {
	if runner, ok := d.input.State.Runner(replica.Runner); ok && d.prefetching(runner) == replica.Row {
		return false
	}
	seen, ok := d.report(replica.Runner, replica.Incarnation)
	if !ok {
		return true
	}
	return !hasCached(seen.Report, replica.Row)
}

// applyPlan proposes the plan as commands, which the zone's state machine checks.
func (d *decider) applyPlan(plan scheduler.PlanResult) {
	for _, unload := range plan.Unloads {
		if replica, ok := d.input.State.Replica(unload.Runner, unload.Row); ok {
			d.transition(replica, structs.ReplicaUnloading)
		}
	}
	for _, load := range plan.Loads {
		runner, _ := d.input.State.Runner(load.Runner)
		d.propose(zone.Command{Reserve: &zone.ReserveCommand{
			Row: load.Row, Runner: load.Runner, Incarnation: runner.Incarnation, At: d.input.Now,
		}})
	}
	for _, prefetch := range plan.Prefetches {
		runner, _ := d.input.State.Runner(prefetch.Runner)
		if runner.Prefetch == "" {
			d.propose(zone.Command{Prefetch: &zone.PrefetchCommand{
				Row: prefetch.Row, Runner: prefetch.Runner, Incarnation: runner.Incarnation,
			}})
		}
	}
}

func (d *decider) transition(replica zone.Replica, to structs.ReplicaState) {
	d.propose(zone.Command{Transition: &zone.TransitionCommand{
		Row: replica.Row, Runner: replica.Runner, Order: replica.Order, To: to, At: d.input.Now,
	}})
}

// releaseGrants releases lowered grants once the zone's replicas are within them. Of a
// frozen grant it releases all that is not loaded.
func (d *decider) releaseGrants() {
	state := d.input.State
	lowered := state.LoweredGrants()
	if len(lowered) == 0 {
		clear(d.core.releases)
	}
	for _, grant := range lowered {
		loaded := state.CountOf(grant.Row)
		if loaded > grant.Limit {
			continue
		}
		target := grant.Limit
		if grant.Frozen {
			target = loaded
		}
		if target == grant.Held {
			continue
		}
		last := d.core.releases[grant.Row]
		if last.sequence == grant.Sequence && d.withinResendInterval(last.at) {
			continue
		}
		d.core.releases[grant.Row] = sentRelease{grant.Sequence, d.input.Now}
		d.decisions.Releases = append(d.decisions.Releases, structs.GrantRelease{
			Row: grant.Row, Zone: state.Zone(), Sequence: grant.Sequence, Limit: target,
		})
	}
}

func (d *decider) withinResendInterval(at time.Time) bool {
	return d.input.Now.Sub(at) < d.core.options.ResendAfter
}

// updateWishes tells the global group how many replicas the rows could use. For a row that
// is no longer wanted it sends 0 once; the global group drops old wishes.
func (d *decider) updateWishes(wanted []scheduler.RowWanted) {
	current := make(map[structs.RowName]bool, len(wanted))
	for _, row := range wanted {
		current[row.Row] = true
		last, known := d.core.wishes[row.Row]
		next := sentWish{wanted: row.Replicas, at: d.input.Now}
		if known && last.wanted == row.Replicas {
			if d.input.Now.Sub(last.at) < d.wishInterval(row, last.repeats) {
				continue
			}
			next.repeats = last.repeats + 1
		}
		d.core.wishes[row.Row] = next
		d.sendWish(row.Row, row.Replicas)
	}
	var withdrawn []structs.RowName
	for row := range d.core.wishes {
		if !current[row] {
			withdrawn = append(withdrawn, row)
		}
	}
	slices.Sort(withdrawn)
	for _, row := range withdrawn {
		delete(d.core.wishes, row)
		d.sendWish(row, 0)
	}
}

// wishInterval returns the time after which an unchanged wish is sent again. For a wish
// that is not granted, it backs off exponentially from ResendAfter to WishAfter, since the
// message may be lost or the table may not allow the grant; for a granted one it is
// WishAfter.
func (d *decider) wishInterval(row scheduler.RowWanted, repeats int) time.Duration {
	longest := d.core.options.WishAfter
	if row.Replicas <= d.input.State.Grant(row.Row).Limit {
		return longest
	}
	interval := d.core.options.ResendAfter
	for ; repeats > 0 && interval < longest; repeats-- {
		interval *= 2
	}
	return min(interval, longest)
}

func (d *decider) sendWish(row structs.RowName, wanted int) {
	wish := structs.GrantWish{Row: row, Zone: d.input.State.Zone(), Wanted: wanted}
	d.decisions.Wishes = append(d.decisions.Wishes, wish)
}

func (d *decider) expireClaims() {
	at, ok := d.input.State.NextClaimExpiry()
	if ok && !at.After(d.input.Now) {
		d.propose(zone.Command{ClaimExpire: &zone.ClaimExpireCommand{Now: d.input.Now}})
	}
}
