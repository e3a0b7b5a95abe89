package controller

import (
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	modelSeeds     = 300
	troubledSteps  = 900
	calmSteps      = 900
	wantedAtTheEnd = 1
	// modelGarbagePercent spares the collector most of its runs.
	modelGarbagePercent = 800
)

// calmDown ends all faults with a demand for every row and room for it.
func (m *model) calmDown() {
	m.calm = true
	m.leaving = map[structs.RunnerID]bool{}
	for _, row := range modelRows {
		m.demand[row.Name] = true
		m.grant(row.Name, wantedAtTheEnd)
	}
	for _, e := range m.engines {
		m.apply(zone.Command{Drain: &zone.DrainCommand{Runner: e.id}})
	}
}

func (m *model) checkConverged() {
	for _, row := range modelRows {
		replicas := m.state.ReplicasOf(row.Name)
		if len(replicas) != wantedAtTheEnd || replicas[0].State != structs.ReplicaReady {
			m.fail("%s ends as %+v", row.Name, replicas)
			continue
		}
		for _, e := range m.engines {
			loaded := e.replicas[row.Name] != nil && e.replicas[row.Name].State == structs.ReplicaReady
			if loaded != (e.id == replicas[0].Runner) {
				m.fail("%s on %s differs from its record", row.Name, e.id)
			}
		}
		if grant := m.state.Grant(row.Name); grant.Held != wantedAtTheEnd {
			m.fail("%s holds %d", row.Name, grant.Held)
		}
	}
}

// A wish that is not granted is repeated after 1, 2, 4 and 8 seconds and so on.
func TestWishesAreRepeatedSoonOnlyWhileNotGranted(t *testing.T) {
	m := newModel(1)
	m.calm = true
	m.grant("large", 0)
	for _, row := range modelRows {
		m.demand[row.Name] = true
	}
	sent := map[structs.RowName]int{}
	var seconds []int
	for tick := range int(10 * time.Second / modelTick) {
		m.step()
		for _, wish := range m.wishes {
			sent[wish.Row]++
			if wish.Row == "large" {
				seconds = append(seconds, tick/int(time.Second/modelTick))
			}
		}
	}
	qt.Assert(t, sent, qt.DeepEquals, map[structs.RowName]int{"large": 4, "kept": 1, "small": 1, "tuned": 1})
	qt.Assert(t, seconds, qt.DeepEquals, []int{0, 1, 3, 7})
}

func TestPrefetchOfDeletedRowIsDropped(t *testing.T) {
	m := newModel(1)
	m.calm = true
	for range time.Second / modelTick {
		m.step()
	}
	m.apply(zone.Command{Prefetch: &zone.PrefetchCommand{Row: "large", Runner: "runner-0", Incarnation: 1}})
	revision := m.state.TableRevision()
	m.apply(zone.Command{Adopt: &structs.TableDelta{
		SinceRevision: revision, Revision: revision + 1, Deleted: []structs.RowName{"large"},
	}})
	m.step()
	runner, _ := m.state.Runner("runner-0")
	qt.Assert(t, runner.Prefetch, qt.Equals, structs.RowName(""))
	qt.Assert(t, m.orders, qt.HasLen, 0)
}

// runModel is one run of a model from trouble to calm.
func runModel(seed uint64) *model {
	m := newModel(seed)
	m.refusesPrefetch = seed%4 == 0
	for range troubledSteps {
		m.step()
	}
	m.calmDown()
	for range calmSteps {
		m.step()
	}
	m.checkConverged()
	return m
}

func TestLimitsHoldAndThePlanIsReached(t *testing.T) {
	// The models live on little memory and make much garbage.
	defer debug.SetGCPercent(debug.SetGCPercent(modelGarbagePercent))
	models := make([]*model, modelSeeds)
	var running sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range models {
		places <- struct{}{}
		running.Go(func() {
			models[seed] = runModel(uint64(seed))
			<-places
		})
	}
	running.Wait()
	loads, failed, prefetches := 0, 0, 0
	for seed, m := range models {
		if m.fault != "" {
			t.Fatalf("seed %d: %s", seed, m.fault)
		}
		loads += m.loads
		failed += m.failed
		prefetches += m.prefetches
	}
	qt.Assert(t, loads > modelSeeds && failed > modelSeeds && prefetches > modelSeeds/10, qt.IsTrue)
	t.Logf("%d loads, %d failed loads, %d prefetches", loads, failed, prefetches)
}
