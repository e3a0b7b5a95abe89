package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// ErrSecondSignal is the cause of a cut that a second signal asked for.
var ErrSecondSignal = errors.New("a second signal came")

// StopSignals returns a context that ends at the first SIGTERM or SIGINT, for a
// planned stop, and one that ends at the second, which cuts what is left.
func StopSignals() (stop, cut context.Context) {
	stop, stopNow := context.WithCancel(context.Background())
	cut, cutNow := context.WithCancelCause(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stopNow()
		<-signals
		cutNow(ErrSecondSignal)
		// A third signal ends the process.
		signal.Stop(signals)
	}()
	return stop, cut
}
