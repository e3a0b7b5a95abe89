package domainnode

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// setLoads sets the loads for routers. The caller holds the mutex.
func (l *leadership) setLoads(loads []fleet.Load) {
	l.loads, l.packedLoads = loads, fleet.PackLoads(loads)
}

// fillLoads sets the loads of a reply that is sent the given time after the router asked, in the
// form that the router takes.
func (l *leadership) fillLoads(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, held time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fillLoadsLocked(reply, arguments, held)
}

// fillLoadsLocked is fillLoads for a caller that holds the mutex.
func (l *leadership) fillLoadsLocked(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, held time.Duration) {
	switch {
	case !arguments.TakesPackedLoads:
		reply.Loads = l.loads
	case arguments.WantsLoads(uint64(l.term), held):
		reply.PackedLoads = l.packedLoads
	default:
		reply.KeepsLoads = true
	}
}

// fillControllers sets the list of controllers unless the router has it.
func fillControllers(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, controllers []string) {
	controllers = controllers[:min(len(controllers), maxControllers)]
	if domainapi.HashAddresses(controllers) != arguments.Controllers {
		reply.Controllers = controllers
	}
}
