package domainnode

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// The size of the users' whole fleet.
const (
	fleetRunners      = 10_000
	fleetPlainRunners = 245
	fleetRouters      = 985
	fleetModels       = 574
	fleetZones        = 5
	fleetRoutes       = 60
	fleetHeartbeat    = 5 * time.Second
	// fleetRequests and fleetDepartures are per second. Models in demand get requests of
	// fleetStreamTime each; one request in ten needs an adapter.
	fleetRequests   = 262
	fleetDepartures = 25
	fleetDemanded   = 100
	fleetStreamTime = 3 * time.Second
	// Models beyond fleetHeldModels are on disks only.
	fleetHeldModels = 300
	fleetDiskModels = 7
)

// benchmarkFleet is a leadership of a domain of the size of the whole fleet, in virtual time. Its group
// has one member that is not running.
type benchmarkFleet struct {
	*leadership
	b      *testing.B
	at     time.Time
	random *rand.Rand
	// heartbeats are the last ones of the listed runners; heardTo is the index of the runner that sends
	// the next.
	heartbeats []fleet.Heartbeat
	heardTo    int
	indexes    map[string]int
	// taken counts the orders that each runner has taken.
	taken map[string]uint64
	// begun is the number of runners ever started.
	begun int
	// demanded is the first of the models in demand.
	demanded   int
	configured site.Document
	streams    []benchmarkStream
}

// benchmarkStream is a request at a runner.
type benchmarkStream struct {
	router string
	row    residency.Row
	runner string
	endsAt time.Time
}

func fleetModel(index int) string { return fmt.Sprintf("model-%06d", index%fleetModels) }

func fleetRouter(index int) string {
	return fmt.Sprintf("frontend-sala-%c-%d", 'a'+index%fleetZones, index)
}

func newBenchmarkFleet(b *testing.B) *benchmarkFleet {
	c := qt.New(b)
	f := &benchmarkFleet{b: b, at: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 1)), indexes: make(map[string]int), taken: make(map[string]uint64)}
	node, err := New(Options{
		Logger: log.NewLogfmtLogger(io.Discard), Name: "core-0", Address: address(0), Seeds: func() []string { return []string{address(0)} },
		DataFolder: b.TempDir(), Decoder: decodeTestDocument, Engines: &fakeEngines{}, Network: networktest.NewMemory(0).From(machineIP(0)),
		Heartbeat: fleetHeartbeat, LinkBytes: 125e6, Now: func() time.Time { return f.at },
	})
	c.Assert(err, qt.IsNil)
	b.Cleanup(node.server.Close)
	store, err := logstore.OpenMember(filepath.Join(node.options.DataFolder, storeFile), groupName, structs.DaemonID("core-0"), group.NewNodeID())
	c.Assert(err, qt.IsNil)
	b.Cleanup(func() { _ = store.Close() })
	m, err := node.newMember(store)
	c.Assert(err, qt.IsNil)
	f.leadership = newLeadership(node, m, 3, f.at)
	f.makeDocument()
	f.putDocument()
	for range fleetRunners {
		f.heartbeats = append(f.heartbeats, f.newRunner())
	}
	f.register(f.heartbeats)
	for i := range fleetRouters {
		f.recordContact(fleetRouter(i), 0, domainapi.MaxHold)
	}
	// Two heartbeats of each runner, and the end of the time in which a new leader learns.
	for range 40 {
		f.live(fleetHeartbeat/20, 0)
		f.step()
	}
	return f
}

func (f *benchmarkFleet) makeDocument() {
	engine := &site.Engine{Slots: 12, CacheTokens: 58095, WeightsMB: 200_000, MaxAdapters: 8, LoadsPerSecond: 2800}
	for i := range fleetModels {
		engine.Models = append(engine.Models, site.Model{
			Name: fleetModel(i), SizeMB: 72_700 - float64(i%3)*15_000, LoadTime: 6900 * time.Millisecond, DiskLoadTime: 1700 * time.Millisecond,
			MemoryLoadTime: 1300 * time.Millisecond, Adapters: 2, AdapterMB: 66,
		})
	}
	f.configured.Services = []site.Service{{Name: "lingua", MaxConnections: 1900, Engine: engine}, {Name: "ricerca", MaxConnections: 1800}}
	for i := range fleetRoutes {
		f.configured.Routes = append(f.configured.Routes, site.Route{
			Name: fmt.Sprint("route-", i), Host: "code.example", PathPrefix: fmt.Sprint("/route/", i), Kind: site.KindStream, Timeout: 15 * time.Second,
			Objective: 800 * time.Millisecond, MaxPause: 400 * time.Millisecond, Split: []site.Share{{Service: "lingua", Weight: 1}}, MaxAttempts: 2,
		})
	}
}

// apply applies a command to the state machine, as if the group had committed it.
func (f *benchmarkFleet) apply(command domain.Command) {
	encoded, err := command.Encode()
	qt.Assert(f.b, err, qt.IsNil)
	f.member.machine.Apply(0, 0, encoded)
}

// putDocument puts the next version of the document, in which one route has changed.
func (f *benchmarkFleet) putDocument() {
	f.configured.Version++
	f.configured.Routes[0].PathPrefix = fmt.Sprint("/route/changed/", f.configured.Version)
	source, err := json.Marshal(f.configured)
	qt.Assert(f.b, err, qt.IsNil)
	packed, err := domain.Compress(source)
	qt.Assert(f.b, err, qt.IsNil)
	f.apply(domain.Command{Put: &domain.Document{Version: f.configured.Version, Source: packed}})
}

// newRunner returns the first heartbeat of a further runner.
func (f *benchmarkFleet) newRunner() fleet.Heartbeat {
	i := f.begun
	f.begun++
	heartbeat := fleet.Heartbeat{
		Instance: fleet.Incarnation(fmt.Sprintf("i-%08x", uint32(i)*2654435761), f.at.UnixMilli()+int64(i)), Service: "lingua",
		Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("sala-%c", 'a'+i%fleetZones), Slots: 12, Sequence: 1,
	}
	if i%fleetRunners < fleetPlainRunners {
		heartbeat.Service, heartbeat.Slots = "ricerca", 6
	} else {
		heartbeat.Models = []fleet.LoadedModel{{Name: fleetModel(2 * i % fleetHeldModels)}, {Name: fleetModel((2*i + 1) % fleetHeldModels)}}
		for held := range fleetDiskModels {
			heartbeat.OnDisk = append(heartbeat.OnDisk, fleetModel(i*fleetDiskModels+held))
		}
		heartbeat.InMemory = heartbeat.OnDisk[:1]
	}
	return heartbeat
}

func (f *benchmarkFleet) register(heartbeats []fleet.Heartbeat) {
	var command domain.Command
	for _, each := range heartbeats {
		command.Registrations = append(command.Registrations, domain.Registration{
			Instance: each.Instance, Service: each.Service, Address: each.Address, Zone: each.Zone, Slots: each.Slots,
		})
	}
	f.apply(command)
	for i := range f.heartbeats {
		f.indexes[f.heartbeats[i].Instance] = i
	}
}

// live lets time pass, in which runners send their heartbeats and routers their reports, and some
// runners depart and are replaced.
func (f *benchmarkFleet) live(passed time.Duration, departures int) {
	f.at = f.at.Add(passed)
	f.depart(departures)
	for range int(fleetRunners * passed.Seconds() / fleetHeartbeat.Seconds()) {
		f.beat()
	}
	f.report(int(fleetRequests * passed.Seconds()))
}

// beat receives the next heartbeat.
func (f *benchmarkFleet) beat() {
	heard := &f.heartbeats[f.heardTo]
	heard.Sequence++
	f.receiveHeartbeat(*heard)
	f.heardTo = (f.heardTo + 1) % len(f.heartbeats)
}

// depart replaces runners by new ones.
func (f *benchmarkFleet) depart(count int) {
	var added []fleet.Heartbeat
	for range count {
		i := f.random.IntN(len(f.heartbeats))
		f.mutex.Lock()
		f.registry.Depart(f.at, f.heartbeats[i].Instance, true)
		f.mutex.Unlock()
		delete(f.indexes, f.heartbeats[i].Instance)
		f.heartbeats[i] = f.newRunner()
		added = append(added, f.heartbeats[i])
	}
	if count == 0 {
		return
	}
	f.register(added)
	for _, heartbeat := range added {
		f.receiveHeartbeat(heartbeat)
	}
}

// report lets requests begin and end, and reports them as the routers do.
func (f *benchmarkFleet) report(requests int) {
	var kept []benchmarkStream
	for _, stream := range f.streams {
		if f.at.Before(stream.endsAt) {
			kept = append(kept, stream)
			continue
		}
		f.observe(stream, 0)
		f.planner.ObservePace(f.at, []residency.Pace{{
			Service: stream.row.Service, Model: stream.row.Model, Instance: stream.runner, Gap: time.Duration(60+f.random.IntN(6)) * time.Millisecond,
			First: 80 * time.Millisecond, Prompt: 1110, Events: 29,
		}})
	}
	f.streams = kept
	for range requests {
		f.request()
	}
	for _, stream := range f.streams {
		f.observe(stream, 1)
	}
}

// request begins a request for one of the models in demand, at a runner that holds it, or makes it
// wait.
func (f *benchmarkFleet) request() {
	row := residency.Row{Service: "lingua", Model: fleetModel(f.demanded + f.random.IntN(fleetDemanded))}
	router := f.random.IntN(fleetRouters)
	demand := residency.Demand{Row: row, Arrived: 1, Objective: 800 * time.Millisecond}
	if f.random.IntN(10) == 0 {
		demand.Row.Adapter = fmt.Sprint("adapter-", f.random.IntN(2))
	}
	holder := f.holder(row.Model)
	if holder == "" {
		demand.Waiting = 1
	} else {
		demand.Active = []residency.ActiveCount{{Instance: holder, Count: 1, Prompt: 1110}}
		f.streams = append(f.streams, benchmarkStream{fleetRouter(router), row, holder, f.at.Add(fleetStreamTime)})
	}
	f.planner.SetRouterZone(fleetRouter(router), fmt.Sprintf("sala-%c", 'a'+router%fleetZones))
	f.planner.Observe(f.at, fleetRouter(router), []residency.Demand{demand})
}

// holder returns one of the runners that hold a model; empty if there is none.
func (f *benchmarkFleet) holder(model string) string {
	from := f.random.IntN(len(f.heartbeats))
	for i := range f.heartbeats {
		heartbeat := &f.heartbeats[(from+i)%len(f.heartbeats)]
		for _, held := range heartbeat.Models {
			if held.Name == model {
				return heartbeat.Instance
			}
		}
	}
	return ""
}

func (f *benchmarkFleet) observe(stream benchmarkStream, active int) {
	f.planner.Observe(f.at, stream.router, []residency.Demand{{Row: stream.row, Active: []residency.ActiveCount{{Instance: stream.runner, Count: active}}}})
}

// step executes a step and settles it.
func (f *benchmarkFleet) step() {
	f.applyDocument()
	done := f.advance()
	f.settle(done)
}

// settle answers the questions and orders of a step. Loads end with the runner's next heartbeat.
func (f *benchmarkFleet) settle(done stepResult) {
	for _, status := range done.questions {
		i, isListed := f.indexes[status.Heartbeat.Instance]
		if isListed {
			report := residency.Report{Taken: f.taken[status.Heartbeat.Instance], Models: f.heartbeats[i].Models}
			f.planner.Reported(f.at, f.at, status.Heartbeat.Instance, report)
		}
	}
	for _, order := range done.orders {
		f.taken[order.Instance]++
		f.planner.Answered(f.at, order, residency.OutcomeAccepted)
		i, isListed := f.indexes[order.Instance]
		if !isListed || order.Adapter != "" {
			continue
		}
		held := &f.heartbeats[i].Models
		isSame := func(model fleet.LoadedModel) bool { return model.Name == order.Model }
		*held = slices.DeleteFunc(slices.Clone(*held), isSame)
		if order.Operation == residency.Load {
			*held = append(*held, fleet.LoadedModel{Name: order.Model})
		}
	}
}

// measureStep measures one step; prepare runs before each and is not measured.
func measureStep(b *testing.B, prepare func(f *benchmarkFleet)) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	orders := 0
	for b.Loop() {
		b.StopTimer()
		prepare(f)
		b.StartTimer()
		f.applyDocument()
		done := f.advance()
		b.StopTimer()
		orders += len(done.orders)
		f.settle(done)
		b.StartTimer()
	}
	b.ReportMetric(float64(orders)/float64(b.N), "orders/op")
}

// BenchmarkFleetStep measures a step of the leader after what happens between two of them.
func BenchmarkFleetStep(b *testing.B) {
	b.Run("quarter-second", func(b *testing.B) {
		measureStep(b, func(f *benchmarkFleet) { f.live(time.Second/4, 0) })
	})
	b.Run("second", func(b *testing.B) {
		measureStep(b, func(f *benchmarkFleet) { f.live(time.Second, 0) })
	})
	b.Run("departures", func(b *testing.B) {
		measureStep(b, func(f *benchmarkFleet) { f.live(time.Second, fleetDepartures) })
	})
	b.Run("document", func(b *testing.B) {
		measureStep(b, func(f *benchmarkFleet) {
			f.putDocument()
			f.live(time.Second, 0)
		})
	})
	b.Run("moved-demand", func(b *testing.B) {
		measureStep(b, func(f *benchmarkFleet) {
			f.demanded = (f.demanded + fleetDemanded) % fleetModels
			f.live(time.Second, 0)
		})
	})
}

// BenchmarkFleetDeparture measures the refresh that makes departures known at once.
func BenchmarkFleetDeparture(b *testing.B) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		f.live(time.Second/fleetDepartures, 1)
		b.StartTimer()
		f.mutex.Lock()
		f.refresh(f.at)
		f.mutex.Unlock()
	}
}

// BenchmarkFleetHeartbeats measures a call with a hundred heartbeats.
func BenchmarkFleetHeartbeats(b *testing.B) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			f.beat()
		}
	}
}

// BenchmarkFleetReplies measures the replies to all routers after a change, without their encoding. The
// routers have the given number of different revisions.
func BenchmarkFleetReplies(b *testing.B) {
	for _, revisions := range []int{1, 8} {
		b.Run(fmt.Sprint("revisions=", revisions), func(b *testing.B) {
			f := newBenchmarkFleet(b)
			for range revisions {
				f.live(time.Second/fleetDepartures, 1)
				f.step()
			}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				f.live(time.Second/fleetDepartures, 1)
				f.step()
				b.StartTimer()
				for i := range fleetRouters {
					f.reply(fleetRouter(i), f.views.Revision()-1-uint64(i%revisions))
				}
			}
		})
	}
}

// reply answers a watch of a router that has the revision known.
func (f *benchmarkFleet) reply(router string, known uint64) {
	arguments := domainapi.WatchArguments{Router: router, Term: uint64(f.term), Revision: known, Version: f.document, TakesPackedLoads: true}
	var reply domainapi.WatchReply
	reply.Routers, reply.Hold = f.recordContact(router, known, domainapi.MaxHold)
	f.noteTermChange(&arguments)
	f.takeFullViewTurn(&arguments)
	document := f.member.machine.Document()
	f.awaitReplySlot(known, document, &arguments, f.at.Add(-time.Hour))
	f.fillReply(&reply, &arguments, known, f.poison.Revision(), document, true)
	f.fillLoads(&reply, &arguments, 0)
}

// BenchmarkFleetSummary measures what the leader logs each summaryInterval.
func BenchmarkFleetSummary(b *testing.B) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.mutex.Lock()
		f.summarizedAt = time.Time{}
		f.logSummary(f.at)
		f.mutex.Unlock()
	}
}

// BenchmarkFleetWholeView measures the full view for routers that have none.
func BenchmarkFleetWholeView(b *testing.B) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		f.live(wholeViewInterval, 1)
		f.step()
		b.StartTimer()
		_, _, err := f.views.Whole(f.at, 0)
		qt.Assert(b, err, qt.IsNil)
	}
}

// wholeViewInterval is the time after which a full view is encoded again.
const wholeViewInterval = 2 * time.Second

// BenchmarkFleetNewLeader measures the start of a leadership and its first step.
func BenchmarkFleetNewLeader(b *testing.B) {
	f := newBenchmarkFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		l := newLeadership(f.node, f.member, 4, f.at)
		l.applyDocument()
		l.advance()
	}
}

// BenchmarkFleetCollection measures a garbage collection and reports the live heap.
func BenchmarkFleetCollection(b *testing.B) {
	f := newBenchmarkFleet(b)
	for b.Loop() {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(f)
}
