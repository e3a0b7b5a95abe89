package engineapi

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// fullReads is after how many reads the whole list is read again, so that a fault of
// a list that tells changes does not last.
const fullReads = 60

// MachineReader keeps a zone's machines up to date by the changes of the machine
// list. Its zero value has read nothing. It is not safe for concurrent use.
type MachineReader struct {
	version  string
	reads    int
	machines map[structs.RunnerID]structs.Machine
}

// Since returns the version to ask for the changes of: empty for the whole list.
func (r *MachineReader) Since() string {
	if r.reads >= fullReads {
		return ""
	}
	return r.version
}

// Take takes the answer to a read for the changes since the version that Since
// returned, and returns the machines in the order of their runners.
func (r *MachineReader) Take(changes MachineChanges) []structs.Machine {
	r.reads++
	if changes.Full || r.machines == nil {
		r.reads = 0
		r.machines = make(map[structs.RunnerID]structs.Machine, len(changes.Machines))
	}
	for _, runner := range changes.Gone {
		delete(r.machines, runner)
	}
	for _, machine := range changes.Machines {
		r.machines[machine.Runner] = machine
	}
	r.version = changes.Version
	return slices.SortedFunc(maps.Values(r.machines), func(a, b structs.Machine) int { return cmp.Compare(a.Runner, b.Runner) })
}
