package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// weightStore runs the emulated weight store of a site on the virtual clock.
type weightStore struct {
	sim    *simulation
	store  *emulator.Store
	calls  map[emulator.CallID]func()
	last   emulator.CallID
	wakeAt time.Time
}

// fetch reads a checkpoint and then calls done.
func (s *weightStore) fetch(runner structs.RunnerID, row structs.Row, done func()) {
	s.last++
	s.calls[s.last] = done
	request := engineapi.FetchRequest{Row: row.Name, SizeBytes: row.MemoryBytes, Runner: runner}
	s.finish(s.store.Fetch(s.sim.clock.now, s.last, request))
	s.sim.checker.checkStoreReads(s.store.State())
}

// slow sets the factor by which reads are slowed down.
func (s *weightStore) slow(factor float64) {
	s.finish(s.store.SetFaults(s.sim.clock.now, emulator.StoreFaults{SlowFactor: factor}))
}

func (s *weightStore) finish(ended []emulator.StoreOutput) {
	for _, output := range ended {
		done := s.calls[output.Call]
		delete(s.calls, output.Call)
		done()
	}
	s.scheduleAdvance()
}

// scheduleAdvance schedules an event at the store's next state change.
func (s *weightStore) scheduleAdvance() {
	at, busy := s.store.NextEvent()
	if !busy || (s.wakeAt.After(s.sim.clock.now) && !at.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = at
	s.sim.clock.at(at, func() {
		if s.wakeAt.Equal(at) {
			s.wakeAt = time.Time{}
		}
		s.finish(s.store.Advance(s.sim.clock.now))
	})
}
