package controller

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// maxSilentPart is the part of the zone's runners, as a divisor, up to which
// silence is put down to the runners. When more are silent, it is as likely that
// this leader is cut off, while routers still reach them.
const maxSilentPart = 2

// silence returns for how long nothing was heard of the runner.
func (d *decider) silence(runner zone.Runner) time.Duration {
	heard := d.core.leadFrom
	if seen, ok := d.report(runner.ID, runner.Incarnation); ok && seen.ReceivedAt.After(heard) {
		heard = seen.ReceivedAt
	}
	if relayed := d.input.Relayed[runner.ID]; relayed.After(heard) {
		heard = relayed
	}
	return d.input.Now.Sub(heard)
}

// findSilent fills d.silent with the runners that routers should not choose.
func (d *decider) findSilent() {
	runners := d.runners
	silent := map[structs.RunnerID]bool{}
	for _, runner := range runners {
		if d.isSilent(runner) {
			silent[runner.ID] = true
		}
	}
	d.silent = silent
	if len(silent)*maxSilentPart <= len(runners) {
		return
	}
	for _, runner := range runners {
		silent[runner.ID] = runner.Silent && silent[runner.ID]
	}
}

// isSilent reports whether a runner is silent for too long. One that is recorded as
// silent stays so under a new leader, until that hears of it.
func (d *decider) isSilent(runner zone.Runner) bool {
	seen, known := d.input.Reports[runner.ID]
	newer := known && seen.Report.Incarnation >= runner.Incarnation
	heard := seen.ReceivedAt
	if relayed := d.input.Relayed[runner.ID]; relayed.After(heard) {
		heard = relayed
	}
	if newer && d.input.Now.Sub(heard) <= d.core.options.SilentAfter {
		return false
	}
	return runner.Silent || d.silence(runner) > d.core.options.SilentAfter
}

// markSilent records a change of the runners that the machine list does not name.
func (d *decider) markSilent(listed []structs.Machine) {
	for _, runner := range d.runners {
		_, ok := slices.BinarySearchFunc(listed, structs.Machine{Runner: runner.ID}, compareMachines)
		if ok || runner.Silent == d.silent[runner.ID] {
			continue
		}
		info := runner.RunnerInfo
		info.Silent = d.silent[runner.ID]
		d.propose(zone.Command{Runner: &zone.RunnerCommand{Info: info}})
	}
}
