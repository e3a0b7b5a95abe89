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

// setColdRates sets the request rates of cold runners by service. The caller holds the mutex.
func (l *leadership) setColdRates(services []site.Service) {
	l.coldRates = make(map[string]float64)
	for i := range services {
		if rate := services[i].ColdRate; rate > 0 {
			l.coldRates[services[i].Name] = rate
		}
	}
}

// markCold sets which runners are cold. In services with a cold rate those are the runners
// that reported it, and runners of formerly drained zones until their next heartbeat, as
// they may have cooled down. The caller holds the mutex.
func (l *leadership) markCold(at time.Time, statuses []fleet.Status) {
	clear(l.cold)
	for i := range statuses {
		status := &statuses[i]
		if l.coldRates[status.Heartbeat.Service] <= 0 {
			status.Cold, status.ColdFor = false, 0
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

// markRateLimits sets the announced rate limits of runners. The caller holds the mutex.
func (l *leadership) markRateLimits(statuses []fleet.Status) {
	if l.runnerLimits.Len() > 0 {
		for i := range statuses {
			statuses[i].Limit = l.runnerLimits.Of(statuses[i].Heartbeat.Instance)
		}
	}
	l.node.metrics.limited.Set(float64(l.runnerLimits.Len()))
}

// maxLimitLogLines bounds the log lines per second about rate limits of runners.
const maxLimitLogLines = 20

// observeLimits applies rate limits that runners announced to a router. A limit applies to
// all routers together, so the next view lists it for all. The caller holds the mutex.
func (l *leadership) observeLimits(at time.Time, arguments *domainapi.DemandArguments) {
	for _, report := range arguments.Limits {
		before := l.runnerLimits.Of(report.Instance)
		if l.registry.Service(report.Instance) == "" || !l.runnerLimits.Observe(report) {
			continue
		}
		after := l.runnerLimits.Of(report.Instance)
		if before == 0 {
			l.tokens.Begin(at, report.Instance)
		}
		if suppressed, allowed := l.loggedLimits.Allow(at); allowed {
			level.Info(l.logger).Log("msg", "A runner's rate limit changes.", "runner", report.Instance, "router", arguments.Router,
				"per_second", after, "before", before, "named", report.PerSecond, "ended", report.IsEnded, "not_logged", suppressed)
		}
	}
}

// tokenRate returns how many requests per second may be granted for a runner; 0 if it has
// no known limit.
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

// WarmUp grants requests to rate-limited runners.
func (s *service) WarmUp(arguments *domainapi.WarmUpArguments, reply *domainapi.WarmUpReply) error {
	m, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	reply.Grants = current.grantTokens(s.node.now(), arguments.Wants)
	if !current.isValid() {
		// A new leader may have granted the same requests.
		*reply = domainapi.WarmUpReply{}
		reply.Error = structs.AsTyped(notLeaderError(m))
	}
	return nil
}

func (l *leadership) grantTokens(at time.Time, wants []ratelimit.Want) []ratelimit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	grants := make([]ratelimit.Grant, 0, len(wants))
	for _, want := range wants {
		rate := l.tokenRate(want.Instance)
		if rate <= 0 {
			// The runner is gone, no longer limited, or its limit is not reported yet; the router
			// learns of it with the next view.
			grants = append(grants, ratelimit.Grant{Instance: want.Instance, MoreIn: ratelimit.TokenTTL})
			continue
		}
		grant := l.tokens.GrantTokens(at, want, rate)
		l.node.metrics.warmups.WithLabelValues("granted").Add(float64(grant.Requests))
		l.node.metrics.warmups.WithLabelValues("later").Add(float64(max(0, want.Requests-grant.Requests)))
		grants = append(grants, grant)
	}
	return grants
}
