package daemon

import "sync"

// notifier wakes all who wait for a change. The zero value is ready to use.
type notifier struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// wait returns a channel that is closed at the next broadcast. Take it before
// looking at the state that may have changed.
func (s *notifier) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// broadcast wakes all who wait.
func (s *notifier) broadcast() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
