// Command lotusferry is the daemon: a router for callers, a controller, or both. As
// `lotusferry router` and `lotusferry controller` it runs one role of a placement
// domain on the users' platform. A first SIGTERM or SIGINT is a planned stop; a second
// one cuts what is left.
package main

import (
	"os"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/platform"
)

func main() {
	stop, cut := daemon.StopSignals()
	if len(os.Args) > 1 && platform.IsRole(os.Args[1]) {
		os.Exit(platform.Main(stop, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(stop, cut, os.Args[1:], os.Stdout, os.Stderr))
}
