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

// relayModel is a leader, routers and the engines whose reports they read, in steps of one
// report interval.
type relayModel struct {
	*qt.C
	now      time.Time
	step     int
	random   *rand.Rand
	machines []structs.Machine
	engines  map[structs.RunnerID]structs.EngineReport
	dead     map[structs.RunnerID]bool
	routers  []*ReportRelay
	silent   map[int]bool
	// lossPercent is the percentage of messages and of replies that are lost.
	lossPercent int
	schedule    *ReportSchedule
	shares      *ReportShares
	reports     map[structs.RunnerID]ReportSeen
	digests     map[structs.RunnerID]uint64
	reads       int
}

func newRelayModel(c *qt.C, runners, routers int) *relayModel {
	w := &relayModel{
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
	w.startLeader(1)
	return w
}

// startLeader begins the term of a new leader.
func (w *relayModel) startLeader(epoch structs.Epoch) {
	w.schedule = NewReportSchedule()
	w.shares = NewReportShares(epoch, testInterval, 32)
	w.reports = map[structs.RunnerID]ReportSeen{}
	w.digests = map[structs.RunnerID]uint64{}
}

func (w *relayModel) advance(steps int) {
	for range steps {
		w.now = w.now.Add(testInterval)
		w.step++
		for index, router := range w.routers {
			if !w.silent[index] {
				w.runRouter(index, router)
			}
		}
		w.schedule.Relay(w.shares.Relayed(w.now, w.digests))
		w.readReports(w.schedule.Due(w.machines))
	}
}

func (w *relayModel) runRouter(index int, router *ReportRelay) {
	for _, runner := range router.Due() {
		if !w.dead[runner.Runner] {
			router.Read(w.now, w.engines[runner.Runner])
		}
	}
	for range 2 {
		if (w.step+index)%2 != 0 || w.random.IntN(100) < w.lossPercent {
			return
		}
		message := router.Message(w.now)
		share := w.shares.HandleMessage(w.now, message, w.machines)
		w.schedule.Suspect(w.shares.Suspects(w.digests))
		w.readReports(w.schedule.New(w.machines))
		if w.random.IntN(100) < w.lossPercent || !router.Acknowledge(message, share) {
			return
		}
	}
}

func (w *relayModel) readReports(machines []structs.Machine) {
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

// reportAge returns the time since the last sign of life of the runner.
func (w *relayModel) reportAge(runner structs.RunnerID) time.Duration {
	lastSeen := w.reports[runner].ReceivedAt
	if relayed := w.shares.Relayed(w.now, w.digests)[runner]; relayed.After(lastSeen) {
		lastSeen = relayed
	}
	return w.now.Sub(lastSeen)
}

func (w *relayModel) oldestReportAge() time.Duration {
	var oldest time.Duration
	for runner := range w.engines {
		if !w.dead[runner] {
			oldest = max(oldest, w.reportAge(runner))
		}
	}
	return oldest
}

func TestRoutersReadReportsForLeader(t *testing.T) {
	w := newRelayModel(qt.New(t), 100, 5)
	w.advance(20)
	w.reads = 0
	w.advance(relayedReadEvery)
	// Each report is read once in 64 s, instead of 32 times.
	w.Assert(w.reads, qt.Equals, 100)
	w.Assert(w.oldestReportAge() < DefaultLaggingAfter, qt.IsTrue)
	shared := map[structs.RunnerID]int{}
	for _, router := range w.routers {
		w.Assert(len(router.share.Runners) > 0, qt.IsTrue)
		for _, runner := range router.share.Runners {
			shared[runner.Runner]++
		}
	}
	w.Assert(shared, qt.HasLen, 100)
}

func TestLeaderReadsFewRunnersItself(t *testing.T) {
	w := newRelayModel(qt.New(t), 31, 5)
	w.advance(20)
	for _, router := range w.routers {
		w.Assert(router.share.Runners, qt.HasLen, 0)
	}
	w.Assert(w.oldestReportAge() <= 3*testInterval, qt.IsTrue)
}

func TestNoEngineSeemsSilentDespiteRouterAndMessageLoss(t *testing.T) {
	for seed := range uint64(20) {
		w := newRelayModel(qt.New(t), 60, 6)
		w.random = rand.New(rand.NewPCG(seed, 9))
		w.lossPercent = 20
		for step := range 200 {
			if w.random.IntN(10) == 0 {
				index := w.random.IntN(len(w.routers))
				w.silent[index] = !w.silent[index]
			}
			if step%70 == 69 {
				w.startLeader(structs.Epoch(step))
			}
			w.advance(1)
			w.Assert(w.oldestReportAge() < DefaultSilentAfter, qt.IsTrue, qt.Commentf("seed %d step %d", seed, step))
		}
	}
}

func TestLeaderReadsChangedReportItself(t *testing.T) {
	w := newRelayModel(qt.New(t), 60, 6)
	w.advance(20)
	changed := w.engines["e007"]
	changed.Replicas = []structs.EngineReplica{{Row: "a", State: structs.ReplicaReady}}
	w.engines["e007"] = changed
	w.reads = 0
	w.advance(idleReadEvery + 2)
	w.Assert(w.reports["e007"].Report.Replicas, qt.HasLen, 1)
	w.Assert(w.reads < 10, qt.IsTrue, qt.Commentf("%d reads", w.reads))
}

func TestLeaderReadsDeadEngineEveryInterval(t *testing.T) {
	w := newRelayModel(qt.New(t), 60, 6)
	w.advance(20)
	w.dead["e007"] = true
	w.advance(12)
	w.Assert(w.reportAge("e007") > DefaultLaggingAfter, qt.IsTrue)
	w.reads = 0
	w.advance(4)
	w.Assert(w.reads >= 4, qt.IsTrue, qt.Commentf("a silent engine must be read at every interval"))
	w.dead["e007"] = false
	w.advance(2)
	w.Assert(w.reportAge("e007") <= testInterval, qt.IsTrue)
}

func TestWronglyRelayedReportIsReadAgain(t *testing.T) {
	w := newRelayModel(qt.New(t), 60, 1)
	w.advance(20)
	// From now on the router reads stale reports of the engine.
	router := w.routers[0]
	w.routers = nil
	changed := w.engines["e007"]
	changed.Incarnation = 2
	w.engines["e007"] = changed
	for range relayedReadEvery {
		for _, runner := range router.share.Runners {
			stale := w.engines[runner.Runner]
			stale.Incarnation = 1
			router.Read(w.now, stale)
		}
		message := router.Message(w.now)
		router.Acknowledge(message, w.shares.HandleMessage(w.now, message, w.machines))
		w.advance(1)
	}
	w.Assert(w.reports["e007"].Report.Incarnation, qt.Equals, structs.Incarnation(2))
	_, relayed := w.shares.Relayed(w.now, w.digests)["e007"]
	w.Assert(relayed, qt.IsFalse)
}

func TestWithBusyKeepsTimeOfOwnRead(t *testing.T) {
	c := qt.New(t)
	read := time.Unix(1000, 0)
	report := structs.EngineReport{Runner: "e", Replicas: []structs.EngineReplica{{Row: "b", Running: 1}, {Row: "a", Running: 2, Queued: 1}}}
	seen := ReportSeen{Report: report, ReceivedAt: read}
	merged := WithBusy(seen, structs.RelayedReport{Runner: "e", Busy: []int{0, 7}})
	c.Assert(merged.Report.Replicas, qt.DeepEquals, []structs.EngineReplica{{Row: "a"}, {Row: "b", Running: 7}})
	c.Assert(merged.ReceivedAt, qt.Equals, read)
	c.Assert(report.Replicas[0].Running, qt.Equals, 1, qt.Commentf("the original report must not change"))
	c.Assert(WithBusy(seen, structs.RelayedReport{Runner: "e", Busy: []int{0}}), qt.DeepEquals, seen)
}

func TestReportDigestIgnoresOnlyLoadAndOrder(t *testing.T) {
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
		"incarnation":   func(r *structs.EngineReport) { r.Incarnation = 2 },
		"role":          func(r *structs.EngineReport) { r.Role = "search" },
		"memory":        func(r *structs.EngineReport) { r.MemoryBytes = 11 },
		"fence":         func(r *structs.EngineReport) { r.Fence.Number = 3 },
		"state":         func(r *structs.EngineReport) { r.Replicas[1].State = structs.ReplicaLoading },
		"replica fence": func(r *structs.EngineReport) { r.Replicas[1].Fence.Number = 9 },
		"lost":          func(r *structs.EngineReport) { r.Replicas = r.Replicas[:1] },
		"evicted":       func(r *structs.EngineReport) { r.Cached = r.Cached[:1] },
		"cache tier":    func(r *structs.EngineReport) { r.Cached[1].Tier = structs.TierMemory },
	}
	for name, change := range other {
		changed := base()
		change(&changed)
		c.Check(ReportDigest(changed) == ReportDigest(base()), qt.IsFalse, qt.Commentf(name))
	}
}
