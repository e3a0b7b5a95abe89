// Package wake signals goroutines through buffered channels.
package wake

// Up sends to a channel with a buffer of one without blocking. It does nothing if a signal is already pending.
func Up(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
