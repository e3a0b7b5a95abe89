package domainnode

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/quota"
)

// maxTenants bounds the tenants in a summary. Tenants with the most waiting or refused
// requests are listed first, then those furthest above their shares.
const maxTenants = 16

// tenantState is the state of a tenant over all routers.
type tenantState struct {
	name    string
	share   float64
	waiting int
	usage   quota.Usage
}

// logTenants logs the state of the listed tenants. The caller holds the mutex.
func (l *leadership) logTenants(at time.Time, usages []quota.Usage) {
	states := l.tenantStates(at, usages)
	l.node.metrics.tenantShare.Reset()
	l.node.metrics.tenantWaiting.Reset()
	l.node.metrics.tenantLimit.Reset()
	for _, state := range states {
		l.node.metrics.tenantShare.WithLabelValues(state.name).Set(state.share)
		l.node.metrics.tenantWaiting.WithLabelValues(state.name).Set(float64(state.waiting))
		if state.usage.Most > 0 {
			l.node.metrics.tenantLimit.WithLabelValues(state.name).Set(state.usage.Used / state.usage.Most)
		}
		level.Info(l.logger).Log("msg", "A tenant stands so.", "tenant", state.name, "share", round2(state.share), "waiting", state.waiting,
			"drawn_per_second", int(state.usage.Drawn/summaryInterval.Seconds()), "used", int(state.usage.Used), "most", int(state.usage.Most),
			"lent", int(state.usage.Lent), "asked", state.usage.Asked, "refused", state.usage.Refused, "promised", state.usage.Promised)
	}
}

func round2(value float64) float64 { return float64(int(value*100+0.5)) / 100 }

func (l *leadership) tenantStates(at time.Time, usages []quota.Usage) []tenantState {
	byName := make(map[string]*tenantState)
	of := func(name string) *tenantState {
		if byName[name] == nil {
			byName[name] = &tenantState{name: name}
		}
		return byName[name]
	}
	for _, share := range l.shares.Shares(at) {
		of(share.Tenant).share = share.Use
		of(share.Tenant).waiting = l.shares.Waiting(share.Tenant)
	}
	for _, usage := range usages {
		if usage.Used > 0 || usage.Asked > 0 {
			of(usage.Tenant).usage = usage
		}
	}
	states := make([]tenantState, 0, len(byName))
	for _, state := range byName {
		states = append(states, *state)
	}
	slices.SortFunc(states, func(a, b tenantState) int {
		return cmp.Or(cmp.Compare(b.waiting+b.usage.Refused, a.waiting+a.usage.Refused), cmp.Compare(b.share, a.share), cmp.Compare(a.name, b.name))
	})
	return states[:min(len(states), maxTenants)]
}
