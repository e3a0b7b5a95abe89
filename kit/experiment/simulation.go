package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// startTime is the start of each run, a Monday at midnight.
var startTime = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

const faultStream = 23

// simulation simulates one site in virtual time.
type simulation struct {
	clock    clock
	site     lab.Site
	settings scheduler.Settings
	table    *table.State
	zones    []*simulatedZone
	byZone   map[structs.ZoneID]*simulatedZone
	store    *weightStore
	faults   *faultInjector
	checker  *checker
	recorder *recorder
	arrivals []workload.Arrival
	// offers enables forwarding of requests without a ready replica in their zone to
	// another zone that can start them.
	offers bool
	waits  *waitTracer
}

func newSimulation(site lab.Site, arrivals []workload.Arrival, seed uint64, faultsOn bool) *simulation {
	w := &simulation{
		clock: clock{now: startTime}, site: site, settings: plannerSettings(site), table: table.New(),
		byZone: map[structs.ZoneID]*simulatedZone{}, recorder: newRecorder(), arrivals: arrivals,
	}
	w.checker = &checker{sim: w, storeLimit: site.StoreConcurrent}
	w.store = &weightStore{sim: w, calls: map[emulator.CallID]func(){}, store: emulator.NewStore(emulator.StoreOptions{
		LoadsPerSecond: site.StoreLoadsPerSecond, FullSpeed: site.StoreConcurrent, BytesPerSecond: float64(storeSpeed),
	})}
	w.faults = &faultInjector{sim: w, random: rand.New(rand.NewPCG(seed, faultStream)), enabled: faultsOn}
	for number, set := range site.Zones {
		w.addZone(set, share(site.StoreConcurrent, len(site.Zones), number))
	}
	w.fillTable()
	return w
}

// plannerSettings returns the scheduler settings for the site.
func plannerSettings(site lab.Site) scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Objective = site.Objective
	settings.MemoryBytesPerSecond = memorySpeed
	settings.DiskBytesPerSecond = diskSpeed
	// A checkpoint from the store is read into memory and loaded from there.
	settings.StoreBytesPerSecond = storeThenMemorySpeed
	return settings
}

// share returns the size of part number of a total split into equal parts, of which the
// first ones are larger by one if there is a remainder.
func share(total, parts, number int) int {
	part := total / parts
	if number < total%parts {
		part++
	}
	return part
}

func (w *simulation) addZone(set lab.SiteZone, storeBudget int) {
	z := &simulatedZone{
		sim: w, id: set.ID, state: zone.New(set.ID), byID: map[structs.RunnerID]*engine{},
		queues: map[structs.RowName]*rowQueue{}, usage: newUsageHistory(), storeBudget: storeBudget,
		wishes: map[structs.RowName]sentWish{},
	}
	for _, runners := range set.Runners {
		for i := range runners.Count {
			z.addEngine(runners, i)
		}
	}
	w.zones = append(w.zones, z)
	w.byZone[z.id] = z
}

func (z *simulatedZone) addEngine(set lab.RunnerSet, number int) {
	e := &engine{
		sim: z.sim, zone: z, alive: true, incarnation: 1, idleSince: startTime,
		replicas:    map[structs.RowName]*engineReplica{},
		checkpoints: emulator.NewCheckpointCache(hostMemoryBytes, diskBytes),
		info: structs.RunnerInfo{
			ID: structs.RunnerID(fmt.Sprintf("%s-%s-%d", z.id, set.Role, number)), Zone: z.id, Role: set.Role,
			Incarnation: 1, MemoryBytes: set.MemoryBytes, Accelerators: set.Accelerators,
		},
	}
	z.engines = append(z.engines, e)
	z.byID[e.info.ID] = e
	z.apply(zone.Command{Runner: &zone.RunnerCommand{Info: e.info}})
}

// fillTable adds the zones and rows to the table, and lets all zones adopt them.
func (w *simulation) fillTable() {
	const zoneWeight = 100
	for _, z := range w.zones {
		w.table.Apply(table.Command{Zone: &table.ZoneCommand{Zone: z.id, Weight: zoneWeight}})
	}
	edit := structs.Edit{ID: "first", Author: "experiment"}
	for _, row := range w.site.Rows {
		edit.Changes = append(edit.Changes, structs.RowChange{Row: row})
	}
	result := w.table.Apply(table.Command{Edit: &table.EditCommand{Edit: edit, At: w.clock.now}})
	if result.Edit == nil || !result.Edit.Accepted {
		w.checker.fail("table", "the table rejected the site's rows: %+v", result)
	}
	for _, z := range w.zones {
		z.adopt()
	}
}

// run processes all arrivals and events up to the given length, and then until all
// requests have ended.
func (w *simulation) run(length time.Duration) {
	w.faults.schedule(length)
	end := startTime.Add(length)
	for day := startTime; day.Before(end); day = day.Add(24 * time.Hour) {
		w.clock.at(day, w.checker.checkZoneStates)
	}
	next := 0
	for next < len(w.arrivals) {
		arrivesAt := startTime.Add(w.arrivals[next].At)
		if at, ok := w.clock.next(); ok && !at.After(arrivesAt) {
			w.clock.step()
			continue
		}
		w.clock.now = arrivesAt
		w.arrive(w.arrivals[next])
		next++
	}
	for w.recorder.ended < len(w.arrivals) || w.clock.now.Before(end) {
		if _, ok := w.clock.next(); !ok {
			break
		}
		w.clock.step()
	}
	for _, z := range w.zones {
		for _, e := range z.engines {
			e.accrueIdleTime()
		}
	}
	w.checker.checkZoneStates()
	w.checker.checkRequestCount(len(w.arrivals), w.recorder.ended)
}

// arrive delivers a request to the zone that serves it.
func (w *simulation) arrive(arrival workload.Arrival) {
	now := w.clock.now
	r := &request{Arrival: arrival, arrivedAt: now, deadlineAt: now.Add(arrival.Deadline)}
	target := w.target(arrival.Zone, arrival.Row)
	if target.id == arrival.Zone {
		target.arrive(r)
		return
	}
	w.clock.after(forwardDelay, func() { target.arrive(r) })
}

// target returns the zone that serves a request: another zone that can start it at
// once, if the home zone has no ready replica; or else the home zone, if it may load
// the row or cannot reach another zone; or else the first zone that may load the row.
func (w *simulation) target(home structs.ZoneID, row structs.RowName) *simulatedZone {
	z := w.byZone[home]
	if other := w.idleZone(z, row); other != nil {
		return other
	}
	if z.state.Grant(row).Limit > 0 || z.ready(row) || z.partitioned {
		return z
	}
	for _, id := range z.state.ServingZones(row) {
		if other := w.byZone[id]; !other.partitioned {
			return other
		}
	}
	return z
}

// idleZone returns another zone that can start a request at once, or nil if there is
// none or the home zone has a ready replica.
func (w *simulation) idleZone(home *simulatedZone, row structs.RowName) *simulatedZone {
	if !w.offers || home.partitioned || home.ready(row) {
		return nil
	}
	for _, id := range home.state.ServingZones(row) {
		other := w.byZone[id]
		if id != home.id && !other.partitioned && len(other.queue(row).waiting) == 0 && other.free(row) {
			return other
		}
	}
	return nil
}

func (w *simulation) finish(r *request, end outcome) {
	if r.outcome != outcomeNone {
		w.checker.fail("requests", "a request for %s ended twice", r.Row)
		return
	}
	r.outcome = end
	w.waits.finish(r)
	w.recorder.requestEnded(w.clock.now, r)
}
