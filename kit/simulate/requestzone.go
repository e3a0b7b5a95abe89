package simulate

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// viewInterval is how often a zone group sends its view to the routers.
	viewInterval = 500 * time.Millisecond
	// minCommitDelay and maxCommitDelay bound the time to commit a command.
	minCommitDelay = 2 * time.Millisecond
	maxCommitDelay = 12 * time.Millisecond
)

// zoneGroup simulates a zone's group by one address in front of a zone.State. While
// it has no leader, it does not answer, and commands in progress may or may not be
// committed.
type zoneGroup struct {
	site      *requestSite
	zone      structs.ZoneID
	state     *zone.State
	index     uint64
	placement structs.Placement
	version   uint64
	// leaderless counts the faults that leave the group without a leader, term the
	// losses of a leader.
	leaderless int
	term       int
	resolver   *claimResolver
}

func newZoneGroup(site *requestSite, id structs.ZoneID) *zoneGroup {
	group := &zoneGroup{site: site, zone: id, state: zone.New(id)}
	group.repeatView()
	group.resolver = newClaimResolver(group)
	return group
}

// next implements homeGroup.
func (g *zoneGroup) next() groupMember { return g }

// failed implements homeGroup.
func (g *zoneGroup) failed(groupMember) {}

// heldClaims implements homeGroup.
func (g *zoneGroup) heldClaims() []structs.Claim { return g.state.HeldClaims() }

func (g *zoneGroup) address() Address { return Address(string(g.zone) + "/group") }

// propose commits a claim operation. The answer is lost if the leader is.
func (g *zoneGroup) propose(operation zone.ClaimOperation, answer func(zone.Result)) {
	if g.leaderless > 0 {
		return
	}
	if operation.Begin != nil {
		g.renew([]structs.RequestID{operation.Begin.Request})
	}
	term := g.term
	g.site.scheduler.After(g.site.between(minCommitDelay, maxCommitDelay), func() {
		lost := g.term != term
		if lost && g.site.chance(0.5) {
			return
		}
		result, ok := g.commit(operation)
		if ok && !lost {
			answer(result)
		}
	})
}

// commit encodes, decodes and applies the operation, as the log does.
func (g *zoneGroup) commit(operation zone.ClaimOperation) (zone.Result, bool) {
	batch := &zone.ClaimBatchCommand{At: g.site.now(), Operations: []zone.ClaimOperation{operation}}
	encoded, err := zone.EncodeCommand(zone.Command{ClaimBatch: batch})
	if err != nil {
		g.site.judge.Report(checkerShell, "a claim operation cannot be encoded: %v", err)
		return zone.Result{}, false
	}
	decoded, err := zone.DecodeCommand(encoded)
	if err != nil {
		g.site.judge.Report(checkerShell, "a claim operation cannot be decoded: %v", err)
		return zone.Result{}, false
	}
	g.index++
	result := g.state.Apply(g.index, decoded)
	if len(result.Batch) != 1 {
		g.site.judge.Report(checkerShell, "a claim operation has no result: %v", result.Error)
		return zone.Result{}, false
	}
	return result.Batch[0], true
}

// loseLeader leaves the group without a leader until heal is called.
func (g *zoneGroup) loseLeader() (heal func()) {
	g.leaderless++
	g.term++
	return func() { g.leaderless-- }
}

// setRunner updates a runner and its ready rows in the zone's view.
func (g *zoneGroup) setRunner(info structs.RunnerInfo, ready []structs.RowName) {
	same := func(other structs.RunnerInfo) bool { return other.ID == info.ID }
	onRunner := func(replica structs.Replica) bool { return replica.Runner == info.ID }
	g.placement.Runners = append(slices.DeleteFunc(slices.Clone(g.placement.Runners), same), info)
	g.placement.Replicas = slices.DeleteFunc(slices.Clone(g.placement.Replicas), onRunner)
	for _, row := range ready {
		g.placement.Replicas = append(g.placement.Replicas, structs.Replica{
			Row: row, Runner: info.ID, Incarnation: info.Incarnation,
			State: structs.ReplicaReady, MemoryBytes: requestRowBytes,
		})
	}
	g.version++
	g.index++
	g.state.Apply(g.index, zone.Command{Runner: &zone.RunnerCommand{Info: info}})
	g.sendView()
}

func (g *zoneGroup) repeatView() {
	g.sendView()
	g.site.scheduler.After(viewInterval, g.repeatView)
}

// viewMessage carries a zone's view to a router.
type viewMessage struct{ view structs.ZoneView }

func (g *zoneGroup) sendView() {
	placement := g.placement
	view := structs.ZoneView{Index: g.version, Table: g.table(), Placement: &placement}
	for _, router := range g.site.routersOf(g.zone) {
		g.site.network.Send(g.address(), router.address(), viewMessage{view})
	}
}

// table returns the rows with the zone's grants.
func (g *zoneGroup) table() structs.TableDelta {
	delta := structs.TableDelta{Full: true, Revision: 1}
	for _, row := range requestRows {
		limit := 0
		if row.servedIn(g.zone) {
			limit = requestEnginesPerZone
		}
		delta.Rows = append(delta.Rows, structs.Row{
			Name: row.name, Kind: structs.RowModel, Weight: 1, MemoryBytes: requestRowBytes,
			MaxReplicas: requestEnginesPerZone * len(row.zones), Role: simulatedRole,
		})
		delta.Grants = append(delta.Grants, structs.Grant{Row: row.name, Zone: g.zone, Limit: limit, Held: limit, Sequence: 1})
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: row.name, Zones: row.zones})
	}
	return delta
}

// readyRows returns the ready rows in sorted order.
func readyRows(ready map[structs.RowName]bool) []structs.RowName {
	return slices.Sorted(maps.Keys(ready))
}
