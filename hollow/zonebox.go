package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
)

// bootstrapLoads and the zone's share of runningLoads bound the loads of a zone
// from the weight store at once, while the site fills and afterwards.
const (
	bootstrapLoads = 64
	runningLoads   = 16
)

// machineListLag is how late the platform's list shows a change.
const machineListLag = time.Second

// reached says when a zone reached a table revision.
type reached struct {
	revision uint64
	at       int64
}

// Violation is something that must never be.
type Violation struct {
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// violationLimit bounds the violations that each zone lists.
const violationLimit = 20

// zoneBox holds what a zone's parts share and what its checkers found.
type zoneBox struct {
	machines     *emulator.MachineList
	storeBudget  int
	globalLeader int
	// adopted and inForce tell when the zone's leader and when the last of its
	// routers had a revision.
	adopted    []reached
	inForce    []reached
	violations []Violation
}

func (z *zoneSite) violate(invariant, format string, arguments ...any) {
	if len(z.box.violations) < violationLimit {
		z.box.violations = append(z.box.violations, Violation{invariant, string(z.id) + ": " + fmt.Sprintf(format, arguments...)})
	}
}

func (z *zoneSite) openBox() {
	z.box.machines = emulator.NewMachineList(machineListLag)
	z.box.storeBudget = bootstrapLoads
	for _, node := range z.runners {
		z.box.machines.Put(epochStart.Add(-machineListLag), node.machine("live"))
	}
}

// noteAdopted notes the revision that the zone's leader has adopted.
func (z *zoneSite) noteAdopted(m *zoneMember) {
	if !m.leads() {
		return
	}
	revision := m.machine.state.TableRevision()
	last := len(z.box.adopted) - 1
	if last >= 0 && z.box.adopted[last].revision >= revision {
		return
	}
	z.box.adopted = append(z.box.adopted, reached{revision, z.now})
}

// noteInForce notes the revision that all living routers have.
func (z *zoneSite) noteInForce() {
	lowest := ^uint64(0)
	for _, node := range z.routers {
		if node.owner.alive && node.sinceTable > 0 {
			lowest = min(lowest, node.sinceTable)
		}
	}
	last := len(z.box.inForce) - 1
	if lowest == ^uint64(0) || (last >= 0 && z.box.inForce[last].revision >= lowest) {
		return
	}
	z.box.inForce = append(z.box.inForce, reached{lowest, z.now})
}

// reachedAt returns when a list first had the revision; false means never.
func reachedAt(list []reached, revision uint64) (int64, bool) {
	for _, entry := range list {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return 0, false
}
