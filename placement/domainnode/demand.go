package domainnode

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// forecastTimeout bounds the wait of a demand report for the next plan. It is several times
// the usual interval between plans.
const forecastTimeout = 200 * time.Millisecond

// Demand applies a router's report. If requests wait, it replies after the next plan, with
// forecasts of when their models are ready.
func (s *service) Demand(arguments *domainapi.DemandArguments, reply *domainapi.DemandReply) error {
	_, current, err := s.leader()
	reply.Error = structs.AsTyped(err)
	if err != nil {
		return nil
	}
	s.node.workload.demands.Add(1)
	current.lock()
	current.planner.SetRouterZone(arguments.Router, arguments.Zone)
	current.observePeer(arguments)
	current.planner.Observe(s.node.now(), arguments.Router, arguments.Demands)
	if current.planner.IsAnyHeld(arguments.Demands) {
		// Requests wait for a model that is already loaded: the router's view is outdated.
		current.notify(arguments.Router)
	}
	current.planner.RequestPolls(s.node.now(), arguments.Doubted)
	for _, instance := range arguments.Unreachable {
		current.registry.ReportUnreachable(instance, arguments.Router)
	}
	current.observeAttempts(s.node.now(), arguments)
	current.streams.Observe(s.node.now(), arguments.Streams)
	current.observeLimits(s.node.now(), arguments)
	current.observeBrittle(s.node.now(), arguments)
	current.observeNotices(s.node.now(), arguments)
	current.planner.ObservePace(s.node.now(), arguments.Paces)
	current.observeLosses(s.node.now(), arguments)
	current.shares.Observe(s.node.now(), arguments.Router, arguments.Works)
	planned := current.planned
	current.mutex.Unlock()
	current.wakePlan()
	isWaiting := func(demand residency.Demand) bool { return demand.Waiting > 0 }
	if !slices.ContainsFunc(arguments.Demands, isWaiting) {
		return nil
	}
	timeout := time.NewTimer(forecastTimeout)
	defer timeout.Stop()
	select {
	case <-planned:
	case <-timeout.C:
		return nil
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	reply.Forecasts = current.planner.Forecasts(s.node.now(), arguments.Demands)
	return nil
}
