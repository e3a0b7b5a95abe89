// Command lotusferrylab is the rehearsal kit: a demonstration, a whole fleet on
// one machine, the simulator and measurements.
package main

import (
	"os"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/kit/labcommand"
)

// daemonCommand makes this program run as a daemon, so that the kit needs no
// second program on a fresh machine.
const daemonCommand = "daemon"

func main() {
	stop, cut := daemon.StopSignals()
	if len(os.Args) > 1 && os.Args[1] == daemonCommand {
		os.Exit(daemon.Main(stop, cut, os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(labcommand.Run(stop, os.Args[1:], labcommand.Environment{
		Output:        os.Stdout,
		Errors:        os.Stderr,
		DaemonCommand: []string{os.Args[0], daemonCommand},
	}))
}
