package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignals returns a context that ends at the first SIGTERM or SIGINT, for a
// planned stop, and one that ends at the second, which cuts what is left.
func StopSignals() (stop, cut context.Context) {
	stop, stopNow := context.WithCancel(context.Background())
	cut, cutNow := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stopNow()
		<-signals
		cutNow()
	}()
	return stop, cut
}
