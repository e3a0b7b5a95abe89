// Package wake wakes loops.
package wake

// Up leaves a word for whoever receives from a channel that has room for one, unless there is one already.
func Up(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
