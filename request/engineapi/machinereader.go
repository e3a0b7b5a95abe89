package engineapi

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// fullReadInterval is the number of reads after which the full list is read again, in
// case a platform reports wrong changes.
const fullReadInterval = 60

// MachineReader maintains a zone's machines from changes of the machine list. Its zero
// value is ready to use. It is not safe for concurrent use.
type MachineReader struct {
	version  string
	reads    int
	machines map[structs.RunnerID]structs.Machine
}

// Since returns the version to read changes since, or "" to read the full list.
func (r *MachineReader) Since() string {
	if r.reads >= fullReadInterval {
		return ""
	}
	return r.version
}

// Take applies the reply to a read of the changes since the version returned by Since,
// and returns the machines sorted by runner.
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
