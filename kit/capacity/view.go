package capacity

import (
	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	methodView   = "Zone.View"
	methodDemand = "Zone.Demand"
	// methodReports relays engine reports from a router.
	methodReports = "Zone.Reports"
)

func viewProbes() []probe {
	changed := []int{1, 4, 16, 64, 256}
	return []probe{
		{RoleZone, "view to a router, table changes only", "changed row", unitBytes, methodGob, changed, func(size int) float64 {
			m := newZone(1_000, 10, 0)
			since, index := m.state.TableRevision(), m.state.Index()
			m.apply(zone.Command{Adopt: laterDelta(size)})
			return viewBytes(m, since, index)
		}},
		{RoleZone, "view to a router after one replica changed", "runner of the zone", unitBytes, methodGob, []int{50, 100, 200, 300, 417}, func(size int) float64 {
			return oneChangeBytes(newZone(2_000, size, 100))
		}},
		{RoleZone, "view to a router after one replica changed, 100 runners", "replica of the zone", unitBytes, methodGob, []int{100, 200, 400, 800, 1_200}, func(size int) float64 {
			return oneChangeBytes(newZone(2_000, 100, size))
		}},
		{RoleZone, "first view to a router", "row", unitBytes, methodGob, tableSizes, func(size int) float64 {
			return viewBytes(newZone(size, 10, 0), 0, 0)
		}},
		{RoleZone, "long polls without news, an hour", "router", unitBytes, methodGob, []int{1, 8, 16, 24, 33}, idlePollBytes},
	}
}

// partProbes returns the probes of partial transfers: of a large table adopted by a zone,
// and of the first view read by a router.
func partProbes() []probe {
	return []probe{
		{RoleZone, "largest part of a table adopted in parts", "change of a part", unitBytes, methodMsgpack, []int{512, 1_024, 2_048, 4_096, zone.MaxPartChanges}, largestPartBytes},
		{RoleZone, "part of a first view to a router, at most 1,024 rows", "row", unitBytes, methodGob, []int{64, 128, 256, 512, 1_024}, func(size int) float64 {
			m := newZone(size, 10, 0)
			return replyBytes(methodView, daemon.ViewReply{View: m.state.ViewPart("", 0)})
		}},
	}
}

// largestPartBytes returns the size of the largest log entry of a table adopted in parts
// of the given number of changes.
func largestPartBytes(changes int) float64 {
	largest := 0
	for _, command := range zone.AdoptCommands(*fullDelta(changes), changes) {
		largest = max(largest, len(must(zone.EncodeCommand(command))))
	}
	return float64(largest)
}

// laterDelta returns a delta that changes rows of fullDelta.
func laterDelta(rows int) *structs.TableDelta {
	delta := &structs.TableDelta{SinceRevision: 1, Revision: 2}
	for _, row := range makeRows(rows, adapterReplicas) {
		row.Revision = 2
		row.Weight++
		delta.Rows = append(delta.Rows, row)
	}
	return delta
}

func viewBytes(m *zoneMachine, sinceTable, sinceIndex uint64) float64 {
	return replyBytes(methodView, daemon.ViewReply{View: m.state.View(sinceTable, sinceIndex)})
}

// oneChangeBytes returns the encoded size of the view update after the reservation of
// one more replica.
func oneChangeBytes(m *zoneMachine) float64 {
	since, index := m.state.TableRevision(), m.state.Index()
	m.apply(zone.Command{Reserve: &zone.ReserveCommand{Row: rowName(1_999), Runner: runnerName(0), Incarnation: 1, At: probeTime}})
	return viewBytes(m, since, index)
}

// pollSeconds is the timeout of a long poll in the daemon.
const pollSeconds = 2

// idlePollBytes returns the encoded size of the requests and replies of all polls by the
// routers in one hour.
func idlePollBytes(routers int) float64 {
	m := newZone(10, 10, 0)
	arguments := daemon.ViewArguments{SinceTable: 1, SinceIndex: m.index, Wait: pollSeconds * 1e9}
	each := requestBytes(methodView, arguments) + viewBytes(m, 1, m.index)
	return each * float64(routers) * 3_600 / pollSeconds
}
