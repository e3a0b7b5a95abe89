package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// weightStore drives the emulated weight store of a site.
type weightStore struct {
	world  *world
	store  *emulator.Store
	calls  map[emulator.CallID]func()
	last   emulator.CallID
	wakeAt time.Time
}

// fetch reads a checkpoint and calls done at the end.
func (s *weightStore) fetch(runner structs.RunnerID, row structs.Row, done func()) {
	s.last++
	s.calls[s.last] = done
	request := engineapi.FetchRequest{Row: row.Name, SizeBytes: row.MemoryBytes, Runner: runner}
	s.finish(s.store.Fetch(s.world.clock.now, s.last, request))
	s.world.checker.storeAsked(s.store.State())
}

// slow sets the factor by which reads are slower.
func (s *weightStore) slow(factor float64) {
	s.finish(s.store.SetFaults(s.world.clock.now, emulator.StoreFaults{SlowFactor: factor}))
}

func (s *weightStore) finish(ended []emulator.StoreOutput) {
	for _, output := range ended {
		done := s.calls[output.Call]
		delete(s.calls, output.Call)
		done()
	}
	s.wake()
}

// wake sets the event at which the store has to be looked at again.
func (s *weightStore) wake() {
	at, busy := s.store.NextEvent()
	if !busy || (s.wakeAt.After(s.world.clock.now) && !at.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = at
	s.world.clock.at(at, func() {
		if s.wakeAt.Equal(at) {
			s.wakeAt = time.Time{}
		}
		s.finish(s.store.Advance(s.world.clock.now))
	})
}
