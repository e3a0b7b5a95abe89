package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// MachineList is the platform's list of live and leaving machines. Changes become
// visible after a lag. It is not safe for concurrent use.
type MachineList struct {
	lag     time.Duration
	current map[structs.RunnerID]structs.Machine
	visible map[structs.RunnerID]structs.Machine
	pending []machineChange
	// revision is incremented with each change that becomes visible; changed holds the
	// revision of the last change of each listed or recently removed machine.
	revision uint64
	changed  map[structs.RunnerID]uint64
	// floor is the revision after which all changes are retained.
	floor uint64
}

// maxRemoved is the maximum number of removed machines that are retained.
const maxRemoved = 4096

// machineChange is a change that is not yet visible.
type machineChange struct {
	visibleAt time.Time
	machine   structs.Machine
	removed   bool
}

// NewMachineList returns an empty list whose changes become visible after lag.
func NewMachineList(lag time.Duration) *MachineList {
	return &MachineList{
		lag:     lag,
		current: make(map[structs.RunnerID]structs.Machine),
		visible: make(map[structs.RunnerID]structs.Machine),
		changed: make(map[structs.RunnerID]uint64),
	}
}

// Put adds or replaces a machine.
func (l *MachineList) Put(now time.Time, machine structs.Machine) {
	l.current[machine.Runner] = machine
	l.change(now, machineChange{machine: machine})
}

// Leave marks a machine as leaving. It reports whether the machine was listed.
func (l *MachineList) Leave(now time.Time, runner structs.RunnerID) bool {
	machine, found := l.current[runner]
	if !found {
		return false
	}
	machine.State = structs.MachineLeaving
	l.Put(now, machine)
	return true
}

// Remove removes a machine from the list. It reports whether the machine was listed.
func (l *MachineList) Remove(now time.Time, runner structs.RunnerID) bool {
	machine, found := l.current[runner]
	if !found {
		return false
	}
	delete(l.current, runner)
	l.change(now, machineChange{machine: machine, removed: true})
	return true
}

func (l *MachineList) change(now time.Time, change machineChange) {
	change.visibleAt = now.Add(l.lag)
	l.pending = append(l.pending, change)
	l.applyDue(now)
}

// applyDue applies the changes that are visible at now.
func (l *MachineList) applyDue(now time.Time) {
	count := 0
	for count < len(l.pending) && !l.pending[count].visibleAt.After(now) {
		due := l.pending[count]
		if due.removed {
			delete(l.visible, due.machine.Runner)
		} else {
			l.visible[due.machine.Runner] = due.machine
		}
		l.revision++
		l.changed[due.machine.Runner] = l.revision
		count++
	}
	if len(l.changed) > len(l.visible)+maxRemoved {
		l.dropRemoved()
	}
	l.pending = slices.Delete(l.pending, 0, count)
}

// dropRemoved drops the removed machines. Readers with an older revision then get the
// full list.
func (l *MachineList) dropRemoved() {
	l.floor = l.revision
	maps.DeleteFunc(l.changed, func(runner structs.RunnerID, _ uint64) bool {
		_, shown := l.visible[runner]
		return !shown
	})
}

// Changes returns the changes after revision since, and the revision visible at now. It
// covers the given zone, or all zones if zone is empty. If since is 0 or not covered by
// the retained changes, the result is the full list.
func (l *MachineList) Changes(now time.Time, zone structs.ZoneID, since uint64) (engineapi.MachineChanges, uint64) {
	l.applyDue(now)
	changes := engineapi.MachineChanges{Full: since == 0 || since < l.floor || since > l.revision}
	for _, runner := range slices.Sorted(maps.Keys(l.changed)) {
		if !changes.Full && l.changed[runner] <= since {
			continue
		}
		machine, shown := l.visible[runner]
		switch {
		case shown && (zone == "" || machine.Zone == zone):
			changes.Machines = append(changes.Machines, machine)
		case !changes.Full:
			changes.Gone = append(changes.Gone, runner)
		}
	}
	return changes, l.revision
}

// List returns the list visible at now, sorted by runner.
func (l *MachineList) List(now time.Time) []structs.Machine {
	l.applyDue(now)
	machines := make([]structs.Machine, 0, len(l.visible))
	machines = slices.AppendSeq(machines, maps.Values(l.visible))
	slices.SortFunc(machines, func(a, b structs.Machine) int { return cmp.Compare(a.Runner, b.Runner) })
	return machines
}
