package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/slotlease"
	"github.com/lotusferry/lotusferry/structs"
)

// observeBrittle applies what routers heard of services whose runners fall over if they reject many requests. The next view
// tells all routers. The caller holds the mutex.
func (l *leadership) observeBrittle(at time.Time, arguments *domainapi.DemandArguments) {
	for _, report := range arguments.Brittle {
		before := l.brittle.Of(report.Instance)
		if !l.brittle.Observe(report) {
			continue
		}
		if suppressed, allowed := l.loggedLimits.Allow(at); allowed {
			level.Info(l.logger).Log("msg", "What the runners of a service bear changes.", "service", report.Instance, "router", arguments.Router,
				"rejections_per_second", l.brittle.Of(report.Instance), "before", before, "not_logged", suppressed)
		}
	}
}

// markBrittle sets which runners are brittle. The caller holds the mutex.
func (l *leadership) markBrittle(at time.Time, statuses []fleet.Status) {
	if l.brittle.Len() > 0 {
		for i := range statuses {
			statuses[i].Brittle = l.brittle.Of(statuses[i].Heartbeat.Service)
		}
	}
	lent, withheld := l.slots.Lent(at)
	l.node.metrics.slots.WithLabelValues("lent").Set(float64(lent))
	l.node.metrics.slots.WithLabelValues("withheld").Set(float64(withheld))
}

// ClaimSlots lends slots of brittle runners.
func (s *service) ClaimSlots(arguments *domainapi.ClaimSlotsArguments, reply *domainapi.ClaimSlotsReply) error {
	m, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	reply.Grants = current.lendSlots(s.node.now(), arguments)
	if !current.isValid() {
		// A new leader may have lent the same slots.
		*reply = domainapi.ClaimSlotsReply{}
		reply.Error = structs.AsTyped(notLeaderError(m))
	}
	return nil
}

func (l *leadership) lendSlots(at time.Time, arguments *domainapi.ClaimSlotsArguments) []slotlease.Grant {
	l.lock()
	defer l.mutex.Unlock()
	grants := make([]slotlease.Grant, 0, len(arguments.Claims))
	for _, claim := range arguments.Claims {
		if l.registry.Service(claim.Instance) == "" {
			continue
		}
		slots := l.registry.Slots(claim.Instance)
		if slots <= 0 {
			slots = fleet.DefaultSlots
		}
		grant := l.slots.Claim(at, arguments.Router, claim, slots)
		l.countClaim(at, arguments.Router, claim, grant)
		grants = append(grants, grant)
	}
	return grants
}

// countClaim records the outcome of a claim.
func (l *leadership) countClaim(at time.Time, router string, claim slotlease.Claim, grant slotlease.Grant) {
	outcome := "granted"
	switch {
	case grant.IsPending:
		outcome = "pending"
	case grant.Slots < claim.Wanted:
		outcome = "later"
	}
	l.node.metrics.claims.WithLabelValues(outcome).Inc()
	if !claim.Rejected {
		return
	}
	if suppressed, allowed := l.loggedLimits.Allow(at); allowed {
		level.Info(l.logger).Log("msg", "A brittle runner had no room for a request; fewer of its slots are lent for a while.", "runner", claim.Instance,
			"router", router, "used", claim.Used, "granted", grant.Slots, "not_logged", suppressed)
	}
}
