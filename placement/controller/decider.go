package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// decider makes one set of decisions.
type decider struct {
	core      *Core
	input     Input
	decisions Decisions
	// leaving holds the runners that the machine list shows as leaving, which the
	// zone's log may not record yet.
	leaving map[structs.RunnerID]bool
	// silent holds the runners whose reports stopped.
	silent map[structs.RunnerID]bool
	// records are those of the state, which no decision changes.
	*records
}

func newDecider(core *Core, input Input) *decider {
	core.records.update(input.State)
	return &decider{core: core, input: input, leaving: map[structs.RunnerID]bool{}, records: &core.records}
}

func (d *decider) propose(command zone.Command) {
	d.decisions.Commands = append(d.decisions.Commands, command)
}

// report returns the runner's report when it is of the incarnation.
func (d *decider) report(runner structs.RunnerID, incarnation structs.Incarnation) (ReportSeen, bool) {
	seen, ok := d.input.Reports[runner]
	return seen, ok && seen.Report.Incarnation == incarnation
}

// registerRunners records what the machine list and the reports tell of runners.
func (d *decider) registerRunners() {
	machines := d.zoneMachines()
	d.findSilent()
	for _, machine := range machines {
		d.registerRunner(machine)
	}
	d.markSilent(machines)
}

// zoneMachines returns the zone's machines in the order of their runners; of a
// runner that is listed twice, the last.
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

// snapshot makes the scheduler's view of the state.
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
		view := d.runner(runner)
		snapshot.Runners = append(snapshot.Runners, view)
		if view.Prefetching != "" {
			snapshot.StoreLoadsInFlight++
		}
	}
	rows := map[structs.RowName]bool{}
	for _, replica := range d.replicas {
		snapshot.Replicas = append(snapshot.Replicas, d.replica(replica))
		rows[replica.Row] = true
		if replica.State == structs.ReplicaLoading && d.fromStore(replica) {
			snapshot.StoreLoadsInFlight++
		}
	}
	d.core.buffers = snapshotBuffers{snapshot.Runners, snapshot.Replicas}
	d.core.demand.rhythms.Watch(d.input.Now)
	snapshot.Expected = d.core.demand.rhythms.Soon(d.input.Now)
	snapshot.Demand = d.core.demand.collect(d.input.Now, d.core.options.DemandAfter, rows)
	for _, demand := range snapshot.Demand {
		if use := d.core.demand.uses[demand.Row]; use != nil {
			snapshot.Interarrivals[demand.Row] = &use.gaps
		}
	}
	return snapshot
}

func (d *decider) runner(runner zone.Runner) scheduler.Runner {
	options := d.core.options
	seen, ok := d.report(runner.ID, runner.Incarnation)
	silence := d.silence(runner)
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

func (d *decider) replica(replica zone.Replica) scheduler.Replica {
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

// fromStore reports whether the loading replica reads the weight store, beside
// what its runner prefetches.
func (d *decider) fromStore(replica zone.Replica) bool {
	if runner, ok := d.input.State.Runner(replica.Runner); ok && d.prefetching(runner) == replica.Row {
		return false
	}
	seen, ok := d.report(replica.Runner, replica.Incarnation)
	if !ok {
		return true
	}
	return !caches(seen.Report, replica.Row)
}

// applyPlan turns the plan into commands; the zone's state machine checks them.
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

// release gives back what was lowered, once the zone is down to it; of a frozen
// grant it gives back all that is not loaded.
func (d *decider) release() {
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
		down := grant.Limit
		if grant.Frozen {
			down = loaded
		}
		if down == grant.Held {
			continue
		}
		last := d.core.releases[grant.Row]
		if last.sequence == grant.Sequence && d.recent(last.at) {
			continue
		}
		d.core.releases[grant.Row] = sentRelease{grant.Sequence, d.input.Now}
		d.decisions.Releases = append(d.decisions.Releases, structs.GrantRelease{
			Row: grant.Row, Zone: state.Zone(), Sequence: grant.Sequence, Limit: down,
		})
	}
}

func (d *decider) recent(at time.Time) bool {
	return d.input.Now.Sub(at) < d.core.options.ResendAfter
}

// wish tells the global group how many replicas the rows could use. A row that
// is wanted no more is wished away once; the global group forgets old wishes.
func (d *decider) wish(wanted []scheduler.RowWanted) {
	now := make(map[structs.RowName]bool, len(wanted))
	for _, row := range wanted {
		now[row.Row] = true
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
	var over []structs.RowName
	for row := range d.core.wishes {
		if !now[row] {
			over = append(over, row)
		}
	}
	slices.Sort(over)
	for _, row := range over {
		delete(d.core.wishes, row)
		d.sendWish(row, 0)
	}
}

// wishInterval is when an unchanged wish is sent again: soon while it is not
// granted, for it may have been lost, and ever less often, for the table may not
// allow it; seldom once it is granted.
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
