package daemon

import "sync"

// notifier signals changes to any number of waiters. The zero value is ready to use.
type notifier struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// wait returns a channel that is closed at the next broadcast. To miss no change, call
// it before reading the state.
func (n *notifier) wait() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// broadcast wakes all waiters.
func (n *notifier) broadcast() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
