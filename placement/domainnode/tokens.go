package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// setColdRates takes what cold runners of each service bear. It runs under the mutex.
func (l *leadership) setColdRates(services []site.Service) {
	l.coldRates = make(map[string]float64)
	for i := range services {
		if rate := services[i].ColdRate; rate > 0 {
			l.coldRates[services[i].Name] = rate
		}
	}
}

// coolStatuses decides which runners are cold: those of services whose cold runners bear less than others, if
// they said so, or if their zone is drained no more and they have not been heard since. They may have cooled
// down meanwhile. It runs under the mutex.
func (l *leadership) coolStatuses(at time.Time, statuses []fleet.Status) {
	clear(l.cold)
	for i := range statuses {
		status := &statuses[i]
		if l.coldRates[status.Heartbeat.Service] <= 0 {
			status.Cold = false
			continue
		}
		heardAt := at.Add(-status.Silent)
		if endedAt, wasDrained := l.drains.endedAt[status.Heartbeat.Zone]; wasDrained && heardAt.Before(endedAt) {
			status.Cold = true
		}
		if status.Cold {
			l.cold[status.Heartbeat.Instance] = true
		}
	}
	l.node.metrics.cold.Set(float64(len(l.cold)))
}

// limitStatuses tells which runners name a rate limit. It runs under the mutex.
func (l *leadership) limitStatuses(statuses []fleet.Status) {
	if l.runnerLimits.Len() > 0 {
		for i := range statuses {
			statuses[i].Limit = l.runnerLimits.Of(statuses[i].Heartbeat.Instance)
		}
	}
	l.node.metrics.limited.Set(float64(l.runnerLimits.Len()))
}

// maxLimitLines is how many lines a second tell of the rate limits of runners.
const maxLimitLines = 20

// observeLimits takes what a router heard of the rate limits of runners. Only the router that was answered hears it,
// and the limit is for all together, so that all are told, with the next view. It runs under the mutex.
func (l *leadership) observeLimits(at time.Time, arguments *domainapi.DemandArguments) {
	for _, heard := range arguments.Limits {
		before := l.runnerLimits.Of(heard.Instance)
		if l.registry.Service(heard.Instance) == "" || !l.runnerLimits.Observe(heard) {
			continue
		}
		now := l.runnerLimits.Of(heard.Instance)
		if before == 0 {
			l.tokens.Begin(at, heard.Instance)
		}
		if suppressed, allowed := l.loggedLimits.Allow(at); allowed {
			level.Info(l.logger).Log("msg", "A runner's rate limit changes.", "runner", heard.Instance, "router", arguments.Router,
				"per_second", now, "before", before, "named", heard.PerSecond, "ended", heard.IsEnded, "not_logged", suppressed)
		}
	}
}

// tokenRate is how many requests a second may be lent for a runner; 0 if it bears as many as others, as far as is
// known.
func (l *leadership) tokenRate(instance string) float64 {
	coldRate, limit := l.coldRates[l.registry.Service(instance)], l.runnerLimits.Of(instance)
	switch {
	case limit <= 0:
		return coldRate
	case l.cold[instance]:
		return min(coldRate, limit)
	}
	return limit
}

// WarmUp lends requests that may be sent to runners that bear few a second.
func (s *service) WarmUp(arguments *domainapi.WarmUpArguments, reply *domainapi.WarmUpReply) error {
	joined, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	reply.Grants = current.lend(s.node.now(), arguments.Wants)
	if !current.isValid() {
		// Another leader may have begun to lend the same.
		*reply = domainapi.WarmUpReply{}
		reply.Error = structs.AsTyped(notLeaderError(joined))
	}
	return nil
}

func (l *leadership) lend(at time.Time, wants []ratelimit.Want) []ratelimit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	grants := make([]ratelimit.Grant, 0, len(wants))
	for _, want := range wants {
		rate := l.tokenRate(want.Instance)
		if rate <= 0 {
			// Its runners are cold no more, its limit has ended or is not told yet, or it has ended itself; the
			// next view or report tells.
			grants = append(grants, ratelimit.Grant{Instance: want.Instance, MoreIn: ratelimit.TokenLife})
			continue
		}
		grant := l.tokens.Lend(at, want, rate)
		l.node.metrics.warmups.WithLabelValues("granted").Add(float64(grant.Requests))
		l.node.metrics.warmups.WithLabelValues("later").Add(float64(max(0, want.Requests-grant.Requests)))
		grants = append(grants, grant)
	}
	return grants
}
