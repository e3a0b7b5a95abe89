package transport

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// errCut is the cause of errors due to Cut.
var errCut = errors.New("cut by fault injection")

// Faults injects faults into a Client: it cuts or delays the calls to selected
// addresses. The zero value and a nil *Faults inject none. It is safe for concurrent use.
type Faults struct {
	mutex  sync.Mutex
	cut    map[string]bool
	delays map[string]time.Duration
}

// Cut makes calls to address fail with ErrorUnavailable. New calls are not sent, and the
// replies of calls in progress are lost.
func (f *Faults) Cut(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cut == nil {
		f.cut = make(map[string]bool)
	}
	f.cut[address] = true
}

// Heal removes the faults of address.
func (f *Faults) Heal(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.cut, address)
	delete(f.delays, address)
}

// Delay delays new calls to address; zero removes the delay.
func (f *Faults) Delay(address string, delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.delays == nil {
		f.delays = make(map[string]time.Duration)
	}
	f.delays[address] = delay
}

func (f *Faults) isCut(address string) bool {
	if f == nil {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.cut[address]
}

// wait waits for the delay of address or until ctx ends.
func (f *Faults) wait(ctx context.Context, address string) error {
	if f == nil {
		return nil
	}
	f.mutex.Lock()
	delay := f.delays[address]
	f.mutex.Unlock()
	if delay <= 0 {
		return nil
	}
	if !pause.For(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
