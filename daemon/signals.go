package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// ErrSecondSignal is the cancellation cause when a second signal aborts a graceful
// shutdown.
var ErrSecondSignal = errors.New("a second signal came")

// StopSignals returns a context that is cancelled by the first SIGTERM or SIGINT, to
// request a graceful shutdown, and one that is cancelled by the second, to abort it.
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
		// A third signal terminates the process.
		signal.Stop(signals)
	}()
	return stop, cut
}
