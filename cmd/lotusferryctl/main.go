// Command lotusferryctl is the operators' command line; see docs/operations/lotusferryctl.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lotusferry/lotusferry/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Environment{
		Input:  os.Stdin,
		Output: os.Stdout,
		Errors: os.Stderr,
	})
	stop()
	os.Exit(code)
}
