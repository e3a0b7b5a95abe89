package simulate

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// viewInterval is how often a zone group repeats its view to the routers.
	viewInterval = 500 * time.Millisecond
	// commitLeast and commitMost bound the time to commit a command.
	commitLeast = 2 * time.Millisecond
	commitMost  = 12 * time.Millisecond
)

// zoneGroup stands for a zone's group: one address in front of the replicated
// state. Claims are decided by zone.State. The group may lose its leader for a
// while: then commands under way are committed or not, and nobody answers.
type zoneGroup struct {
	site      *requestSite
	zone      structs.ZoneID
	state     *zone.State
	index     uint64
	placement structs.Placement
	version   uint64
	// leaderless counts the reasons for which nobody answers, term the losses of a leader.
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

// propose takes a claim operation. The answer is lost when the leader is.
func (g *zoneGroup) propose(operation zone.ClaimOperation, answer func(zone.Result)) {
	if g.leaderless > 0 {
		return
	}
	if operation.Begin != nil {
		g.renew([]structs.RequestID{operation.Begin.Request})
	}
	term := g.term
	g.site.scheduler.After(g.site.between(commitLeast, commitMost), func() {
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

// commit takes the operation through the log's encoding into the state.
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

// loseLeader leaves the group without a leader until the returned function is called.
func (g *zoneGroup) loseLeader() (heal func()) {
	g.leaderless++
	g.term++
	return func() { g.leaderless-- }
}

// setRunner records what the group has learned of a runner, with its ready rows.
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

// table lists the rows with the zone's grants.
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

// readyRows lists the rows that an engine's replicas made ready, by name.
func readyRows(ready map[structs.RowName]bool) []structs.RowName {
	return slices.Sorted(maps.Keys(ready))
}
