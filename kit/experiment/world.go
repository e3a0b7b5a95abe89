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

// startTime is the Monday on which each run begins.
var startTime = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

const faultStream = 23

// world is one site in virtual time.
type world struct {
	clock    clock
	site     lab.Site
	settings scheduler.Settings
	table    *table.State
	zones    []*zoneWorld
	byZone   map[structs.ZoneID]*zoneWorld
	store    *weightStore
	faults   *faultPlan
	checker  *checker
	measure  *measure
	arrivals []workload.Arrival
	// offers says that a call which finds no ready replica in its zone goes to another
	// zone that has one.
	offers bool
	waits  *waitTracer
}

func newWorld(site lab.Site, arrivals []workload.Arrival, seed uint64, faultsOn bool) *world {
	w := &world{
		clock: clock{now: startTime}, site: site, settings: plannerSettings(site), table: table.New(),
		byZone: map[structs.ZoneID]*zoneWorld{}, measure: newMeasure(), arrivals: arrivals,
	}
	w.checker = &checker{world: w, storeLimit: site.StoreConcurrent}
	w.store = &weightStore{world: w, calls: map[emulator.CallID]func(){}, store: emulator.NewStore(emulator.StoreOptions{
		LoadsPerSecond: site.StoreLoadsPerSecond, FullSpeed: site.StoreConcurrent, BytesPerSecond: float64(storeSpeed),
	})}
	w.faults = &faultPlan{world: w, random: rand.New(rand.NewPCG(seed, faultStream)), on: faultsOn}
	for number, set := range site.Zones {
		w.addZone(set, share(site.StoreConcurrent, len(site.Zones), number))
	}
	w.fillTable()
	return w
}

// plannerSettings are the settings of a site as an operator sets them.
func plannerSettings(site lab.Site) scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Objective = site.Objective
	settings.MemoryBytesPerSecond = memorySpeed
	settings.DiskBytesPerSecond = diskSpeed
	// A checkpoint of the store is read into memory and loaded from there.
	settings.StoreBytesPerSecond = storeThenMemorySpeed
	return settings
}

// share splits a total into equal parts, the first ones larger by one.
func share(total, parts, number int) int {
	part := total / parts
	if number < total%parts {
		part++
	}
	return part
}

func (w *world) addZone(set lab.SiteZone, storeBudget int) {
	z := &zoneWorld{
		world: w, id: set.ID, state: zone.New(set.ID), byID: map[structs.RunnerID]*engine{},
		queues: map[structs.RowName]*rowQueue{}, learned: newLearned(), storeBudget: storeBudget,
		wishes: map[structs.RowName]wish{},
	}
	for _, runners := range set.Runners {
		for i := range runners.Count {
			z.addEngine(runners, i)
		}
	}
	w.zones = append(w.zones, z)
	w.byZone[z.id] = z
}

func (z *zoneWorld) addEngine(set lab.RunnerSet, number int) {
	e := &engine{
		world: z.world, zone: z, alive: true, incarnation: 1, idleSince: startTime,
		replicas:    map[structs.RowName]*loaded{},
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

// fillTable adds the zones and rows; all zones adopt them.
func (w *world) fillTable() {
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
		w.checker.fail("table", "the site's rows were refused: %+v", result)
	}
	for _, z := range w.zones {
		z.adopt()
	}
}

// run lets all arrivals and events happen, and then the requests end.
func (w *world) run(length time.Duration) {
	w.faults.schedule(length)
	end := startTime.Add(length)
	for day := startTime; day.Before(end); day = day.Add(24 * time.Hour) {
		w.clock.at(day, w.checker.zoneStates)
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
	for w.measure.ended < len(w.arrivals) || w.clock.now.Before(end) {
		if _, ok := w.clock.next(); !ok {
			break
		}
		w.clock.step()
	}
	for _, z := range w.zones {
		for _, e := range z.engines {
			e.settle()
		}
	}
	w.checker.zoneStates()
	w.checker.ends(len(w.arrivals), w.measure.ended)
}

// arrive gives a call to a router of its zone, or of the zone that may serve it.
func (w *world) arrive(arrival workload.Arrival) {
	now := w.clock.now
	r := &request{Arrival: arrival, arrivedAt: now, deadlineAt: now.Add(arrival.Deadline)}
	target := w.target(arrival.Zone, arrival.Row)
	if target.id == arrival.Zone {
		target.arrive(r)
		return
	}
	w.clock.after(forwardDelay, func() { target.arrive(r) })
}

// target is the zone that serves a call: its own, if it may load the row or can
// reach nobody else, or else the first that may.
func (w *world) target(home structs.ZoneID, row structs.RowName) *zoneWorld {
	z := w.byZone[home]
	if other := w.warm(z, row); other != nil {
		return other
	}
	if z.state.Grant(row).Limit > 0 || z.ready(row) || z.cutOff {
		return z
	}
	for _, id := range z.state.ServingZones(row) {
		if other := w.byZone[id]; !other.cutOff {
			return other
		}
	}
	return z
}

// warm is another zone that can start a call at once which the zone itself cannot, or nil.
func (w *world) warm(home *zoneWorld, row structs.RowName) *zoneWorld {
	if !w.offers || home.cutOff || home.ready(row) {
		return nil
	}
	for _, id := range home.state.ServingZones(row) {
		other := w.byZone[id]
		if id != home.id && !other.cutOff && len(other.queue(row).waiting) == 0 && other.free(row) {
			return other
		}
	}
	return nil
}

func (w *world) finish(r *request, end outcome) {
	if r.outcome != outcomeNone {
		w.checker.fail("requests", "a request for %s ended twice", r.Row)
		return
	}
	r.outcome = end
	w.waits.ends(r)
	w.measure.ends(w.clock.now, r)
}
