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
	modelSeeds    = 300
	faultSteps    = 900
	settleSteps   = 900
	finalReplicas = 1
	// modelGCPercent reduces the number of garbage collections.
	modelGCPercent = 800
)

// stopFaults ends all faults, and gives every row demand and room for one replica.
func (m *model) stopFaults() {
	m.faultFree = true
	m.leaving = map[structs.RunnerID]bool{}
	for _, row := range modelRows {
		m.demand[row.Name] = true
		m.grant(row.Name, finalReplicas)
	}
	for _, e := range m.engines {
		m.apply(zone.Command{Drain: &zone.DrainCommand{Runner: e.id}})
	}
}

func (m *model) checkConverged() {
	for _, row := range modelRows {
		replicas := m.state.ReplicasOf(row.Name)
		if len(replicas) != finalReplicas || replicas[0].State != structs.ReplicaReady {
			m.fail("%s has replicas %+v at the end", row.Name, replicas)
			continue
		}
		for _, e := range m.engines {
			loaded := e.replicas[row.Name] != nil && e.replicas[row.Name].State == structs.ReplicaReady
			if loaded != (e.id == replicas[0].Runner) {
				m.fail("%s on %s differs from its record", row.Name, e.id)
			}
		}
		if grant := m.state.Grant(row.Name); grant.Held != finalReplicas {
			m.fail("%s holds a grant of %d at the end", row.Name, grant.Held)
		}
	}
}

// A wish that is not granted must be repeated after 1, 2, 4 and 8 seconds and so on.
func TestUngrantedWishesAreRepeatedWithBackoff(t *testing.T) {
	m := newModel(1)
	m.faultFree = true
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
	m.faultFree = true
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

// runModel runs a model with faults and then without, and checks that it converges.
func runModel(seed uint64) *model {
	m := newModel(seed)
	m.rejectsPrefetch = seed%4 == 0
	for range faultSteps {
		m.step()
	}
	m.stopFaults()
	for range settleSteps {
		m.step()
	}
	m.checkConverged()
	return m
}

func TestLimitsHoldAndThePlanIsReached(t *testing.T) {
	// The models use little memory and produce much garbage.
	defer debug.SetGCPercent(debug.SetGCPercent(modelGCPercent))
	models := make([]*model, modelSeeds)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range models {
		slots <- struct{}{}
		running.Go(func() {
			models[seed] = runModel(uint64(seed))
			<-slots
		})
	}
	running.Wait()
	loads, failed, prefetches := 0, 0, 0
	for seed, m := range models {
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
		loads += m.loads
		failed += m.failedLoads
		prefetches += m.prefetches
	}
	qt.Assert(t, loads > modelSeeds && failed > modelSeeds && prefetches > modelSeeds/10, qt.IsTrue)
	t.Logf("%d loads, %d failed loads, %d prefetches", loads, failed, prefetches)
}
