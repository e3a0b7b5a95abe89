package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
)

// The faults of a day, as means over the whole site, and their shapes.
const (
	crashesPerDay   = 3.0
	reclaimsPerDay  = 1.0
	slowStorePerDay = 1.0
	cutOffsPerDay   = 0.5
	loadDeathRate   = 0.005

	restartTime   = 45 * time.Second
	reclaimNotice = 2 * time.Minute
	reclaimTime   = time.Hour
	slowStoreTime = 15 * time.Minute
	slowStoreBy   = 4.0
	cutOffTime    = time.Hour
)

// faultPlan is the source of the faults of one run.
type faultPlan struct {
	world  *world
	random *rand.Rand
	on     bool
}

// loadDies draws whether an engine dies at the end of a load.
func (f *faultPlan) loadDies() bool { return f.on && f.random.Float64() < loadDeathRate }

// schedule sets all faults of the run.
func (f *faultPlan) schedule(length time.Duration) {
	if !f.on {
		return
	}
	f.each(length, crashesPerDay, func() {
		e := f.engine()
		if e.alive && !e.info.Leaving {
			e.die()
			f.world.clock.after(restartTime, e.restart)
		}
	})
	f.each(length, reclaimsPerDay, func() { f.reclaim(f.engine()) })
	f.each(length, slowStorePerDay, func() {
		f.world.store.slow(slowStoreBy)
		f.world.clock.after(slowStoreTime, func() { f.world.store.slow(1) })
	})
	f.each(length, cutOffsPerDay, func() {
		z := f.world.zones[f.random.IntN(len(f.world.zones))]
		if !z.cutOff {
			z.cutOff = true
			f.world.clock.after(cutOffTime, z.rejoin)
		}
	})
}

// each sets the fault at Poisson times.
func (f *faultPlan) each(length time.Duration, perDay float64, fault func()) {
	mean := float64(24*time.Hour) / perDay
	for at := f.random.ExpFloat64() * mean; at < float64(length); at += f.random.ExpFloat64() * mean {
		f.world.clock.after(time.Duration(at), func() {
			f.world.measure.faults++
			fault()
		})
	}
}

func (f *faultPlan) engine() *engine {
	z := f.world.zones[f.random.IntN(len(f.world.zones))]
	return z.engines[f.random.IntN(len(z.engines))]
}

// reclaim takes a machine away after its notice, and gives an empty one back.
func (f *faultPlan) reclaim(e *engine) {
	if !e.alive || e.info.Leaving {
		return
	}
	e.info.Leaving = true
	life := e.incarnation
	e.zone.apply(zone.Command{Runner: &zone.RunnerCommand{Info: e.info}})
	e.zone.wake(demandDelay)
	f.world.clock.after(reclaimNotice, func() {
		if !e.lives(life) {
			return
		}
		e.die()
		e.checkpoints.ClearDisk()
		f.world.clock.after(reclaimTime, e.restart)
	})
}
