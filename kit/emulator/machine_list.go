package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// MachineList is the platform's list of live and leaving machines. Every change
// shows only after the lag. It is not safe for concurrent use.
type MachineList struct {
	lag     time.Duration
	current map[structs.RunnerID]structs.Machine
	shown   map[structs.RunnerID]structs.Machine
	pending []machineChange
	// revision rises with each change that shows; changed holds that of each machine
	// that is on the list or was until lately.
	revision uint64
	changed  map[structs.RunnerID]uint64
	// floor is the revision after which all changes are known.
	floor uint64
}

// maxGone bounds the machines that are remembered as gone.
const maxGone = 4096

// machineChange is a change that does not show yet.
type machineChange struct {
	showAt  time.Time
	machine structs.Machine
	gone    bool
}

// NewMachineList makes an empty list whose changes show after lag.
func NewMachineList(lag time.Duration) *MachineList {
	return &MachineList{
		lag:     lag,
		current: make(map[structs.RunnerID]structs.Machine),
		shown:   make(map[structs.RunnerID]structs.Machine),
		changed: make(map[structs.RunnerID]uint64),
	}
}

// Put adds or replaces a machine.
func (l *MachineList) Put(now time.Time, machine structs.Machine) {
	l.current[machine.Runner] = machine
	l.change(now, machineChange{machine: machine})
}

// Leave marks a machine as leaving. It reports whether the machine is known.
func (l *MachineList) Leave(now time.Time, runner structs.RunnerID) bool {
	machine, found := l.current[runner]
	if !found {
		return false
	}
	machine.State = structs.MachineLeaving
	l.Put(now, machine)
	return true
}

// Remove takes a machine off the list. It reports whether the machine was known.
func (l *MachineList) Remove(now time.Time, runner structs.RunnerID) bool {
	machine, found := l.current[runner]
	if !found {
		return false
	}
	delete(l.current, runner)
	l.change(now, machineChange{machine: machine, gone: true})
	return true
}

func (l *MachineList) change(now time.Time, change machineChange) {
	change.showAt = now.Add(l.lag)
	l.pending = append(l.pending, change)
	l.show(now)
}

// show applies the changes that are due.
func (l *MachineList) show(now time.Time) {
	count := 0
	for count < len(l.pending) && !l.pending[count].showAt.After(now) {
		due := l.pending[count]
		if due.gone {
			delete(l.shown, due.machine.Runner)
		} else {
			l.shown[due.machine.Runner] = due.machine
		}
		l.revision++
		l.changed[due.machine.Runner] = l.revision
		count++
	}
	if len(l.changed) > len(l.shown)+maxGone {
		l.forgetGone()
	}
	l.pending = slices.Delete(l.pending, 0, count)
}

// forgetGone forgets the machines that are gone: whoever has not read so is told the
// whole list.
func (l *MachineList) forgetGone() {
	l.floor = l.revision
	maps.DeleteFunc(l.changed, func(runner structs.RunnerID, _ uint64) bool {
		_, shown := l.shown[runner]
		return !shown
	})
}

// Changes returns the revision that shows at now and what changed after the revision
// since in the zone, or everywhere when it is empty; 0 asks for all of it.
func (l *MachineList) Changes(now time.Time, zone structs.ZoneID, since uint64) (engineapi.MachineChanges, uint64) {
	l.show(now)
	changes := engineapi.MachineChanges{Full: since == 0 || since < l.floor || since > l.revision}
	for _, runner := range slices.Sorted(maps.Keys(l.changed)) {
		if !changes.Full && l.changed[runner] <= since {
			continue
		}
		machine, shown := l.shown[runner]
		switch {
		case shown && (zone == "" || machine.Zone == zone):
			changes.Machines = append(changes.Machines, machine)
		case !changes.Full:
			changes.Gone = append(changes.Gone, runner)
		}
	}
	return changes, l.revision
}

// List returns the list as it shows at now, by runner.
func (l *MachineList) List(now time.Time) []structs.Machine {
	l.show(now)
	machines := make([]structs.Machine, 0, len(l.shown))
	machines = slices.AppendSeq(machines, maps.Values(l.shown))
	slices.SortFunc(machines, func(a, b structs.Machine) int { return cmp.Compare(a.Runner, b.Runner) })
	return machines
}
