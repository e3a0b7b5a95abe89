// Command lotusferry is the daemon: a router for callers, a controller, or both.
// A first SIGTERM or SIGINT is a planned stop; a second one cuts what is left.
package main

import (
	"os"

	"github.com/lotusferry/lotusferry/daemon"
)

func main() {
	stop, cut := daemon.StopSignals()
	os.Exit(daemon.Main(stop, cut, os.Args[1:], os.Stdout, os.Stderr))
}
