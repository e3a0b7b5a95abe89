package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
)

// Fault rates per day over the whole site, or per load, and fault durations.
const (
	crashesPerDay    = 3.0
	reclaimsPerDay   = 1.0
	slowStorePerDay  = 1.0
	partitionsPerDay = 0.5
	loadCrashRate    = 0.005

	restartTime       = 45 * time.Second
	reclaimNotice     = 2 * time.Minute
	reclaimTime       = time.Hour
	slowStoreTime     = 15 * time.Minute
	slowStoreFactor   = 4.0
	partitionDuration = time.Hour
)

// faultInjector generates the faults of a run.
type faultInjector struct {
	sim     *simulation
	random  *rand.Rand
	enabled bool
}

// crashesOnLoad randomly decides whether an engine crashes at the end of a load.
func (f *faultInjector) crashesOnLoad() bool { return f.enabled && f.random.Float64() < loadCrashRate }

// schedule schedules all faults of a run of the given length.
func (f *faultInjector) schedule(length time.Duration) {
	if !f.enabled {
		return
	}
	f.schedulePoisson(length, crashesPerDay, func() {
		e := f.randomEngine()
		if e.alive && !e.info.Leaving {
			e.terminate()
			f.sim.clock.after(restartTime, e.restart)
		}
	})
	f.schedulePoisson(length, reclaimsPerDay, func() { f.reclaim(f.randomEngine()) })
	f.schedulePoisson(length, slowStorePerDay, func() {
		f.sim.store.slow(slowStoreFactor)
		f.sim.clock.after(slowStoreTime, func() { f.sim.store.slow(1) })
	})
	f.schedulePoisson(length, partitionsPerDay, func() {
		z := f.sim.zones[f.random.IntN(len(f.sim.zones))]
		if !z.partitioned {
			z.partitioned = true
			f.sim.clock.after(partitionDuration, z.rejoin)
		}
	})
}

// schedulePoisson schedules the fault as a Poisson process with a mean of perDay
// events.
func (f *faultInjector) schedulePoisson(length time.Duration, perDay float64, fault func()) {
	mean := float64(24*time.Hour) / perDay
	for at := f.random.ExpFloat64() * mean; at < float64(length); at += f.random.ExpFloat64() * mean {
		f.sim.clock.after(time.Duration(at), func() {
			f.sim.recorder.faults++
			fault()
		})
	}
}

func (f *faultInjector) randomEngine() *engine {
	z := f.sim.zones[f.random.IntN(len(f.sim.zones))]
	return z.engines[f.random.IntN(len(z.engines))]
}

// reclaim removes a machine after its notice period and later returns it with empty
// memory and disk.
func (f *faultInjector) reclaim(e *engine) {
	if !e.alive || e.info.Leaving {
		return
	}
	e.info.Leaving = true
	incarnation := e.incarnation
	e.zone.apply(zone.Command{Runner: &zone.RunnerCommand{Info: e.info}})
	e.zone.schedulePlan(demandDelay)
	f.sim.clock.after(reclaimNotice, func() {
		if !e.isCurrent(incarnation) {
			return
		}
		e.terminate()
		e.checkpoints.ClearDisk()
		f.sim.clock.after(reclaimTime, e.restart)
	})
}
