package controller

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// maxSilentDivisor is the inverse of the part of the zone's runners up to which silence is
// attributed to the runners. If more are silent, the leader itself is as likely partitioned,
// while routers may still reach them.
const maxSilentDivisor = 2

// silentFor returns the time since the last sign of life of the runner.
func (d *decider) silentFor(runner zone.Runner) time.Duration {
	lastSeen := d.core.leaderSince
	if seen, ok := d.report(runner.ID, runner.Incarnation); ok && seen.ReceivedAt.After(lastSeen) {
		lastSeen = seen.ReceivedAt
	}
	if relayed := d.input.Relayed[runner.ID]; relayed.After(lastSeen) {
		lastSeen = relayed
	}
	return d.input.Now.Sub(lastSeen)
}

// findSilent sets d.silent to the runners that routers should not choose.
func (d *decider) findSilent() {
	runners := d.runners
	silent := map[structs.RunnerID]bool{}
	for _, runner := range runners {
		if d.isSilent(runner) {
			silent[runner.ID] = true
		}
	}
	d.silent = silent
	if len(silent)*maxSilentDivisor <= len(runners) {
		return
	}
	for _, runner := range runners {
		silent[runner.ID] = runner.Silent && silent[runner.ID]
	}
}

// isSilent reports whether the runner has been silent for too long. A runner recorded as
// silent stays so under a new leader until that one receives a report.
func (d *decider) isSilent(runner zone.Runner) bool {
	seen, known := d.input.Reports[runner.ID]
	newer := known && seen.Report.Incarnation >= runner.Incarnation
	lastSeen := seen.ReceivedAt
	if relayed := d.input.Relayed[runner.ID]; relayed.After(lastSeen) {
		lastSeen = relayed
	}
	if newer && d.input.Now.Sub(lastSeen) <= d.core.options.SilentAfter {
		return false
	}
	return runner.Silent || d.silentFor(runner) > d.core.options.SilentAfter
}

// recordUnlistedSilence proposes changes of silence for the runners that are not on the
// machine list.
func (d *decider) recordUnlistedSilence(listed []structs.Machine) {
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
