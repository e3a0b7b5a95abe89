package daemon

import "sync"

// notifier wakes all who wait for a change. The zero value is ready to use.
type notifier struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// wait returns a channel that is closed at the next broadcast. Take it before
// looking at the state that may have changed.
func (n *notifier) wait() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// broadcast wakes all who wait.
func (n *notifier) broadcast() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
