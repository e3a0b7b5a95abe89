package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

var start = time.Unix(1_000_000, 0)

func placement(runners int) structs.Placement {
	var placed structs.Placement
	for number := range runners {
		id := structs.RunnerID(fmt.Sprintf("runner-%d", number))
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: id, Incarnation: 1})
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: "row", Runner: id, Incarnation: 1, State: structs.ReplicaReady})
	}
	return placed
}

func newBalancer(runners int, options Options) *Balancer {
	balancer := New(options, rand.New(rand.NewPCG(1, 1)))
	balancer.SetPlacement(placement(runners))
	return balancer
}

// fill sends attempts until no replica has capacity and counts them by runner.
func fill(balancer *Balancer, limit int) map[structs.RunnerID]int {
	counts := map[structs.RunnerID]int{}
	for range limit {
		choice, ok := balancer.Pick(start, "row", nil, "")
		if !ok {
			break
		}
		choice.Sent(start, nil)
		counts[choice.Runner()]++
	}
	return counts
}

func TestPickSkipsUnusableReplicas(t *testing.T) {
	reported := func(id structs.RunnerID, load int) func(*Balancer) {
		return func(b *Balancer) {
			b.ObserveLoad(id, structs.LoadReport{Running: load, MaxBatch: 4, ObservedAt: start})
		}
	}
	tests := []struct {
		about  string
		change func(*Balancer)
		want   map[structs.RunnerID]int
	}{
		{"each up to its limit", func(*Balancer) {}, map[structs.RunnerID]int{"runner-0": 5, "runner-1": 5}},
		{"leaving runner", func(b *Balancer) { b.Leave("runner-0") }, map[structs.RunnerID]int{"runner-1": 5}},
		{"left runner in an older placement", func(b *Balancer) {
			b.Leave("runner-0")
			b.SetPlacement(placement(2))
		}, map[structs.RunnerID]int{"runner-1": 5}},
		{"load of other routers", reported("runner-0", 3), map[structs.RunnerID]int{"runner-0": 2, "runner-1": 5}},
		{"other routers cannot starve this one", reported("runner-0", 6), map[structs.RunnerID]int{"runner-0": 1, "runner-1": 5}},
		{"replica of an older incarnation", func(b *Balancer) {
			placed := placement(2)
			placed.Runners[0].Incarnation = 2
			b.SetPlacement(placed)
		}, map[structs.RunnerID]int{"runner-1": 5}},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			balancer := newBalancer(2, Options{MaxBatch: 4, QueueSlack: 1})
			test.change(balancer)
			qt.Assert(t, fill(balancer, 100), qt.DeepEquals, test.want)
		})
	}
}

func TestLoadReportExcludesOwnAttempts(t *testing.T) {
	tests := []struct {
		about      string
		observedAt time.Duration
		others     int
	}{
		{"report before own attempts", -time.Second, 3},
		{"report after the first", time.Second, 2},
		{"report after both", 3 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			balancer := newBalancer(1, Options{})
			for _, at := range []time.Duration{0, 2 * time.Second} {
				choice, _ := balancer.Pick(start, "row", nil, "")
				choice.Sent(start.Add(at), nil)
			}
			balancer.ObserveLoad("runner-0", structs.LoadReport{Running: 3, ObservedAt: start.Add(test.observedAt)})
			qt.Assert(t, balancer.runners["runner-0"].others, qt.Equals, test.others)
		})
	}
}

func TestSubsetSizeStabilityAndSpread(t *testing.T) {
	used := map[structs.RunnerID]int{}
	for daemon := range 100 {
		options := Options{Daemon: structs.DaemonID(fmt.Sprint(daemon)), SubsetSize: 8}
		balancer := newBalancer(100, options)
		before := map[*runner]bool{}
		for _, member := range balancer.rows["row"].subset {
			before[member.runner] = true
			used[member.runner.info.ID]++
		}
		qt.Assert(t, before, qt.HasLen, 8)
		balancer.SetPlacement(placement(99))
		changed := 0
		for _, member := range balancer.rows["row"].subset {
			if !before[member.runner] {
				changed++
			}
		}
		qt.Assert(t, changed <= 1, qt.IsTrue)
	}
	qt.Assert(t, len(used) > 95, qt.IsTrue, qt.Commentf("%d runners used", len(used)))
}

// Full and partial placements with the same random changes result in the same subsets.
func TestPartialPlacementsMatchFullPlacement(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	whole := New(Options{SubsetSize: 3}, rand.New(rand.NewPCG(1, 1)))
	follower := New(Options{SubsetSize: 3}, rand.New(rand.NewPCG(1, 1)))
	placed := placement(12)
	whole.SetPlacement(placed)
	follower.SetPlacement(placed)
	for range 500 {
		change := structs.Placement{Partial: true}
		for _, number := range random.Perm(12)[:1+random.IntN(3)] {
			changeRunner(random, &placed, number, &change)
		}
		whole.SetPlacement(placed)
		follower.SetPlacement(change)
		for _, name := range []structs.RowName{"row", "other"} {
			qt.Assert(t, subsetOf(follower, name), qt.DeepEquals, subsetOf(whole, name))
			qt.Assert(t, follower.Ready(name), qt.Equals, whole.Ready(name))
		}
	}
}

// changeRunner applies a random change of one runner to the placement and the change.
func changeRunner(random *rand.Rand, placed *structs.Placement, number int, change *structs.Placement) {
	info := &placed.Runners[number]
	info.Leaving = random.IntN(4) == 0
	if random.IntN(4) == 0 {
		info.Incarnation++
	}
	placed.Replicas = slices.DeleteFunc(placed.Replicas, func(known structs.Replica) bool { return known.Runner == info.ID })
	for _, name := range []structs.RowName{"row", "other"} {
		if random.IntN(2) == 0 {
			state := []structs.ReplicaState{structs.ReplicaReady, structs.ReplicaLoading}[random.IntN(2)]
			known := structs.Replica{Row: name, Runner: info.ID, Incarnation: info.Incarnation, State: state}
			placed.Replicas = append(placed.Replicas, known)
			change.Replicas = append(change.Replicas, known)
		}
	}
	change.Runners = append(change.Runners, *info)
}

func subsetOf(balancer *Balancer, name structs.RowName) []structs.RunnerID {
	var ids []structs.RunnerID
	if current := balancer.rows[name]; current != nil {
		for _, member := range current.subset {
			ids = append(ids, member.runner.info.ID)
		}
	}
	return ids
}

func TestPrefixAffinityIsBounded(t *testing.T) {
	balancer := newBalancer(8, Options{MaxBatch: 8, AffinityBound: 0.25})
	prefixes := PrefixHashes(nil, "row", strings.Repeat("a", 4*PrefixBlockBytes))
	qt.Assert(t, prefixes, qt.HasLen, 3)
	first, _ := balancer.Pick(start, "row", prefixes, "")
	first.Sent(start, prefixes)
	same := 1
	for range 20 {
		choice, _ := balancer.Pick(start, "row", prefixes[:2], "")
		if choice.Runner() != first.Runner() {
			break
		}
		choice.Sent(start, nil)
		same++
	}
	qt.Assert(t, same, qt.Equals, 3)
}

func TestObserveCache(t *testing.T) {
	balancer := newBalancer(8, Options{})
	prefixes := PrefixHashes(nil, "row", strings.Repeat("b", PrefixBlockBytes))
	steps := []struct {
		about  string
		change CacheChange
		known  bool
	}{
		{"cached", CacheChange{Sequence: 2, PrefixHash: prefixes[0]}, true},
		{"older event is ignored", CacheChange{Sequence: 1, PrefixHash: prefixes[0], Evicted: true}, true},
		{"evicted after a gap", CacheChange{Sequence: 5, PrefixHash: prefixes[0], Evicted: true}, false},
		{"another block with the same sequence", CacheChange{Sequence: 5, PrefixHash: prefixes[0]}, true},
		{"cleared", CacheChange{Sequence: 6, Cleared: true}, false},
	}
	for _, step := range steps {
		step.change.Runner = "runner-5"
		balancer.ObserveCache(step.change)
		work := &Work{Prefixes: prefixes}
		found := balancer.lookUp(start, balancer.rows["row"], work)
		known := balancer.cached(start, balancer.rows["row"], work, &found, 0) != nil
		qt.Assert(t, known, qt.Equals, step.known, qt.Commentf(step.about))
	}
	qt.Assert(t, balancer.CacheGaps(), qt.Equals, uint64(1))
}

func TestPrefixHashesMatchEngineKeys(t *testing.T) {
	prompt := strings.Repeat("0123456789", 50)
	keys := engineapi.PromptBlocks("row", prompt)
	qt.Assert(t, PrefixHashes(nil, "row", prompt), qt.DeepEquals, []uint64{keys[0], keys[1], keys[3]})
}

func TestBreakerProbesOnceAndBacksOff(t *testing.T) {
	balancer := newBalancer(1, Options{BreakerFailures: 2, BreakerDelay: time.Second})
	now := start
	attempt := func(outcome Outcome) bool {
		choice, ok := balancer.Pick(now, "row", nil, "")
		if ok {
			choice.Sent(now, nil)
			choice.Done(now, outcome)
		}
		return ok
	}
	qt.Assert(t, attempt(OutcomeBroken), qt.IsTrue)
	qt.Assert(t, attempt(OutcomeBroken), qt.IsTrue)
	qt.Assert(t, attempt(OutcomeSuccess), qt.IsFalse)
	now = now.Add(time.Second)
	probe, ok := balancer.Pick(now, "row", nil, "")
	qt.Assert(t, ok, qt.IsTrue)
	probe.Sent(now, nil)
	qt.Assert(t, attempt(OutcomeSuccess), qt.IsFalse, qt.Commentf("one probe at a time"))
	probe.Done(now, OutcomeBroken)
	now = now.Add(time.Second)
	qt.Assert(t, attempt(OutcomeSuccess), qt.IsFalse, qt.Commentf("the delay doubled"))
	now = now.Add(time.Second)
	qt.Assert(t, attempt(OutcomeSuccess), qt.IsTrue)
	qt.Assert(t, attempt(OutcomeSuccess), qt.IsTrue)
}

func TestOutlierEjectionShareIsBounded(t *testing.T) {
	balancer := newBalancer(6, Options{EjectionShare: 0.34, BreakerFailures: 1000})
	for round := range 3000 {
		choice, ok := balancer.Pick(start, "row", nil, "")
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("round %d", round))
		choice.Sent(start, nil)
		bad := choice.Runner() <= "runner-2"
		choice.Done(start, map[bool]Outcome{true: OutcomeUnavailable, false: OutcomeSuccess}[bad])
	}
	qt.Assert(t, balancer.Ejections(), qt.Equals, uint64(2))
}

func TestRetryBudgetAndBackoff(t *testing.T) {
	budget := NewBudget(0.5, 2)
	qt.Assert(t, budget.Withdraw(), qt.IsTrue)
	qt.Assert(t, budget.Withdraw(), qt.IsTrue)
	qt.Assert(t, budget.Withdraw(), qt.IsFalse)
	budget.Deposit()
	qt.Assert(t, budget.Withdraw(), qt.IsFalse)
	budget.Deposit()
	qt.Assert(t, budget.Withdraw(), qt.IsTrue)
	random := rand.New(rand.NewPCG(1, 1))
	for retry, ceiling := range map[int]time.Duration{1: 100, 2: 200, 3: 400, 9: 500} {
		delay := Backoff(random, 100, 500, retry)
		qt.Assert(t, delay >= ceiling/2 && delay <= ceiling, qt.IsTrue, qt.Commentf("%d: %d", retry, delay))
	}
}

func TestWarmRunnerIsPreferredUntilBusier(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{MaxBatch: 10, ColdTime: 250 * time.Millisecond, WarmTime: 8 * time.Second}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(structs.Placement{
		Runners: []structs.RunnerInfo{{ID: "a"}, {ID: "b"}},
		Replicas: []structs.Replica{
			{Row: "row", Runner: "a", State: structs.ReplicaReady}, {Row: "row", Runner: "b", State: structs.ReplicaReady},
		},
	})
	first, found := b.Pick(now, "row", nil, "")
	c.Assert(found, qt.IsTrue)
	first.Sent(now, nil)
	first.Done(now, OutcomeSuccess)
	for range 3 {
		next, _ := b.Pick(now.Add(time.Second), "row", nil, "")
		c.Assert(next.Runner(), qt.Equals, first.Runner())
		next.Sent(now.Add(time.Second), nil)
	}
	other, _ := b.Pick(now.Add(time.Second), "row", nil, "")
	c.Assert(other.Runner(), qt.Not(qt.Equals), first.Runner(), qt.Commentf("three more requests outweigh a connection"))
}

func TestSlowRunnerGetsFewerRequests(t *testing.T) {
	balancer := newBalancer(2, Options{MaxBatch: 64, Choices: 4})
	balancer.SetPace("runner-1", pace.Runner{Slowness: 2})
	counts := fill(balancer, 30)
	qt.Assert(t, counts, qt.DeepEquals, map[structs.RunnerID]int{"runner-0": 20, "runner-1": 10})
}

// Replicas that refuse requests are picked if no other is usable and the option is set; unresponsive runners never are.
func TestUseFailingWhenEveryReplicaFails(t *testing.T) {
	for _, test := range []struct {
		about   string
		options Options
		outcome Outcome
		found   bool
	}{
		{"replicas refuse", Options{UseFailing: true}, OutcomeUnavailable, true},
		{"runners do not answer", Options{UseFailing: true}, OutcomeBroken, false},
		{"option unset", Options{}, OutcomeUnavailable, false},
	} {
		t.Run(test.about, func(t *testing.T) {
			test.options.BreakerFailures = 2
			balancer := newBalancer(2, test.options)
			for range 20 {
				choice, ok := balancer.Pick(start, "row", nil, "")
				if !ok {
					break
				}
				choice.Sent(start, nil)
				choice.Done(start, test.outcome)
			}
			_, found := balancer.Pick(start, "row", nil, "")
			qt.Assert(t, found, qt.Equals, test.found)
		})
	}
}

// TestHasUsableExcludesRunnerToAvoid guards against a request that is withdrawn from its
// runner although Pick would find no other one, and against a check that reserves capacity.
func TestHasUsableExcludesRunnerToAvoid(t *testing.T) {
	tests := []struct {
		about   string
		runners int
		change  func(*Balancer)
		want    bool
	}{
		{"idle", 2, func(*Balancer) {}, true},
		{"no other runner", 1, func(*Balancer) {}, false},
		{"unknown row", 0, func(*Balancer) {}, false},
		{"full", 2, func(b *Balancer) { fill(b, 100) }, false},
		{"leaving", 2, func(b *Balancer) { b.Leave("runner-1") }, false},
		{"cooling down", 2, func(b *Balancer) { b.CoolDown("runner-1", start.Add(time.Second)) }, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			balancer := newBalancer(test.runners, Options{MaxBatch: 4, QueueSlack: 1})
			test.change(balancer)
			for range 20 {
				qt.Check(t, balancer.HasUsable(start, "row", &Work{Avoid: "runner-0"}), qt.Equals, test.want)
			}
		})
	}
}
