package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

const testInterval = 500 * time.Millisecond

// shareWorld is a leader, routers and engines whose reports they read, in steps of
// one report interval.
type shareWorld struct {
	*qt.C
	now      time.Time
	step     int
	random   *rand.Rand
	machines []structs.Machine
	engines  map[structs.RunnerID]structs.EngineReport
	dead     map[structs.RunnerID]bool
	routers  []*ReportRelay
	silent   map[int]bool
	// lost is how many of 100 messages or their answers get lost.
	lost     int
	schedule *ReportSchedule
	shares   *ReportShares
	reports  map[structs.RunnerID]ReportSeen
	digests  map[structs.RunnerID]uint64
	reads    int
}

func newShareWorld(c *qt.C, runners, routers int) *shareWorld {
	w := &shareWorld{
		C: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)),
		engines: map[structs.RunnerID]structs.EngineReport{}, dead: map[structs.RunnerID]bool{}, silent: map[int]bool{},
	}
	for i := range runners {
		id := structs.RunnerID(fmt.Sprintf("e%03d", i))
		w.machines = append(w.machines, structs.Machine{Runner: id})
		w.engines[id] = structs.EngineReport{Runner: id, Incarnation: 1, Replicas: []structs.EngineReplica{
			{Row: "b", State: structs.ReplicaReady}, {Row: "a", State: structs.ReplicaReady},
		}}
	}
	for i := range routers {
		w.routers = append(w.routers, NewReportRelay(structs.DaemonID(fmt.Sprint("r", i)), testInterval))
	}
	w.lead(1)
	return w
}

// lead begins the term of a leader that knows nothing.
func (w *shareWorld) lead(epoch structs.Epoch) {
	w.schedule = NewReportSchedule()
	w.shares = NewReportShares(epoch, testInterval, 32)
	w.reports = map[structs.RunnerID]ReportSeen{}
	w.digests = map[structs.RunnerID]uint64{}
}

func (w *shareWorld) pass(steps int) {
	for range steps {
		w.now = w.now.Add(testInterval)
		w.step++
		for index, router := range w.routers {
			if !w.silent[index] {
				w.turn(index, router)
			}
		}
		w.schedule.Relay(w.shares.Relayed(w.now, w.digests))
		w.readThese(w.schedule.Due(w.machines))
	}
}

func (w *shareWorld) turn(index int, router *ReportRelay) {
	for _, runner := range router.Due() {
		if !w.dead[runner.Runner] {
			router.Read(w.now, w.engines[runner.Runner])
		}
	}
	for range 2 {
		if (w.step+index)%2 != 0 || w.random.IntN(100) < w.lost {
			return
		}
		message := router.Message(w.now)
		share := w.shares.Take(w.now, message, w.machines)
		w.schedule.Suspect(w.shares.Suspects(w.digests))
		w.readThese(w.schedule.New(w.machines))
		if w.random.IntN(100) < w.lost || !router.Told(message, share) {
			return
		}
	}
}

func (w *shareWorld) readThese(machines []structs.Machine) {
	for _, machine := range machines {
		w.reads++
		w.schedule.Read(machine.Runner, !w.dead[machine.Runner])
		w.shares.Checked(machine.Runner)
		if !w.dead[machine.Runner] {
			w.reports[machine.Runner] = ReportSeen{Report: w.engines[machine.Runner], ReceivedAt: w.now}
			w.digests[machine.Runner] = ReportDigest(w.engines[machine.Runner])
		}
	}
}

// age is how long nothing was heard of the runner.
func (w *shareWorld) age(runner structs.RunnerID) time.Duration {
	heard := w.reports[runner].ReceivedAt
	if relayed := w.shares.Relayed(w.now, w.digests)[runner]; relayed.After(heard) {
		heard = relayed
	}
	return w.now.Sub(heard)
}

func (w *shareWorld) oldest() time.Duration {
	var oldest time.Duration
	for runner := range w.engines {
		if !w.dead[runner] {
			oldest = max(oldest, w.age(runner))
		}
	}
	return oldest
}

func TestRoutersTakeTheReadingOfReportsOffTheLeader(t *testing.T) {
	w := newShareWorld(qt.New(t), 100, 5)
	w.pass(20)
	w.reads = 0
	w.pass(relayedEvery)
	// Each report once in 64 s, instead of 32 times.
	w.Assert(w.reads, qt.Equals, 100)
	w.Assert(w.oldest() < DefaultLaggingAfter, qt.IsTrue)
	shared := map[structs.RunnerID]int{}
	for _, router := range w.routers {
		w.Assert(len(router.share.Runners) > 0, qt.IsTrue)
		for _, runner := range router.share.Runners {
			shared[runner.Runner]++
		}
	}
	w.Assert(shared, qt.HasLen, 100)
}

func TestFewRunnersAreReadByTheLeaderAlone(t *testing.T) {
	w := newShareWorld(qt.New(t), 31, 5)
	w.pass(20)
	for _, router := range w.routers {
		w.Assert(router.share.Runners, qt.HasLen, 0)
	}
	w.Assert(w.oldest() <= 3*testInterval, qt.IsTrue)
}

func TestNoEngineLooksSilentWhileRoutersDieAndMessagesAreLost(t *testing.T) {
	for seed := range uint64(20) {
		w := newShareWorld(qt.New(t), 60, 6)
		w.random = rand.New(rand.NewPCG(seed, 9))
		w.lost = 20
		for step := range 200 {
			if w.random.IntN(10) == 0 {
				index := w.random.IntN(len(w.routers))
				w.silent[index] = !w.silent[index]
			}
			if step%70 == 69 {
				w.lead(structs.Epoch(step))
			}
			w.pass(1)
			w.Assert(w.oldest() < DefaultSilentAfter, qt.IsTrue, qt.Commentf("seed %d step %d", seed, step))
		}
	}
}

func TestAChangeOfAnEngineIsReadByTheLeaderItself(t *testing.T) {
	w := newShareWorld(qt.New(t), 60, 6)
	w.pass(20)
	changed := w.engines["e007"]
	changed.Replicas = []structs.EngineReplica{{Row: "a", State: structs.ReplicaReady}}
	w.engines["e007"] = changed
	w.reads = 0
	w.pass(calmEvery + 2)
	w.Assert(w.reports["e007"].Report.Replicas, qt.HasLen, 1)
	w.Assert(w.reads < 10, qt.IsTrue, qt.Commentf("%d reads", w.reads))
}

func TestADeadEngineIsReadByTheLeaderAndFoundSilent(t *testing.T) {
	w := newShareWorld(qt.New(t), 60, 6)
	w.pass(20)
	w.dead["e007"] = true
	w.pass(12)
	w.Assert(w.age("e007") > DefaultLaggingAfter, qt.IsTrue)
	w.reads = 0
	w.pass(4)
	w.Assert(w.reads >= 4, qt.IsTrue, qt.Commentf("a silent engine is read at every interval"))
	w.dead["e007"] = false
	w.pass(2)
	w.Assert(w.age("e007") <= testInterval, qt.IsTrue)
}

func TestARouterThatSaysNothingChangedIsNotBelievedForLong(t *testing.T) {
	w := newShareWorld(qt.New(t), 60, 1)
	w.pass(20)
	// From now on the router's readings are of a copy of the engine as it was.
	router := w.routers[0]
	w.routers = nil
	changed := w.engines["e007"]
	changed.Incarnation = 2
	w.engines["e007"] = changed
	for range relayedEvery {
		for _, runner := range router.share.Runners {
			stale := w.engines[runner.Runner]
			stale.Incarnation = 1
			router.Read(w.now, stale)
		}
		message := router.Message(w.now)
		router.Told(message, w.shares.Take(w.now, message, w.machines))
		w.pass(1)
	}
	w.Assert(w.reports["e007"].Report.Incarnation, qt.Equals, structs.Incarnation(2))
	_, relayed := w.shares.Relayed(w.now, w.digests)["e007"]
	w.Assert(relayed, qt.IsFalse)
}

func TestARoutersWordOnLoadIsNoReading(t *testing.T) {
	c := qt.New(t)
	read := time.Unix(1000, 0)
	report := structs.EngineReport{Runner: "e", Replicas: []structs.EngineReplica{{Row: "b", Running: 1}, {Row: "a", Running: 2, Queued: 1}}}
	seen := ReportSeen{Report: report, ReceivedAt: read}
	merged := WithBusy(seen, structs.RelayedReport{Runner: "e", Busy: []int{0, 7}})
	c.Assert(merged.Report.Replicas, qt.DeepEquals, []structs.EngineReplica{{Row: "a"}, {Row: "b", Running: 7}})
	c.Assert(merged.ReceivedAt, qt.Equals, read)
	c.Assert(report.Replicas[0].Running, qt.Equals, 1, qt.Commentf("the report that was read is as it was"))
	c.Assert(WithBusy(seen, structs.RelayedReport{Runner: "e", Busy: []int{0}}), qt.DeepEquals, seen)
}

func TestReportsThatDifferInMoreThanLoadHaveOtherDigests(t *testing.T) {
	c := qt.New(t)
	base := func() structs.EngineReport {
		return structs.EngineReport{Runner: "e", Role: "answers", Incarnation: 1, MemoryBytes: 10, Accelerators: 1,
			Fence:    structs.Fence{Epoch: 1, Number: 2},
			Replicas: []structs.EngineReplica{{Row: "a", State: structs.ReplicaReady}, {Row: "b", State: structs.ReplicaReady}},
			Cached:   []structs.CachedRow{{Row: "a", Tier: structs.TierDisk}, {Row: "b", Tier: structs.TierDisk}}}
	}
	same := map[string]func(*structs.EngineReport){
		"load":  func(r *structs.EngineReport) { r.Load.Running = 5; r.Replicas[0].Running = 5 },
		"order": func(r *structs.EngineReport) { r.Replicas[0], r.Replicas[1] = r.Replicas[1], r.Replicas[0] },
		"cache": func(r *structs.EngineReport) { r.Cached[0], r.Cached[1] = r.Cached[1], r.Cached[0] },
	}
	for name, change := range same {
		changed := base()
		change(&changed)
		c.Check(ReportDigest(changed), qt.Equals, ReportDigest(base()), qt.Commentf(name))
	}
	other := map[string]func(*structs.EngineReport){
		"incarnation": func(r *structs.EngineReport) { r.Incarnation = 2 },
		"role":        func(r *structs.EngineReport) { r.Role = "search" },
		"memory":      func(r *structs.EngineReport) { r.MemoryBytes = 11 },
		"fence":       func(r *structs.EngineReport) { r.Fence.Number = 3 },
		"state":       func(r *structs.EngineReport) { r.Replicas[1].State = structs.ReplicaLoading },
		"order of it": func(r *structs.EngineReport) { r.Replicas[1].Fence.Number = 9 },
		"lost":        func(r *structs.EngineReport) { r.Replicas = r.Replicas[:1] },
		"evicted":     func(r *structs.EngineReport) { r.Cached = r.Cached[:1] },
		"copied":      func(r *structs.EngineReport) { r.Cached[1].Tier = structs.TierMemory },
	}
	for name, change := range other {
		changed := base()
		change(&changed)
		c.Check(ReportDigest(changed) == ReportDigest(base()), qt.IsFalse, qt.Commentf(name))
	}
}
