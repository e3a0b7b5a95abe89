package ratelimit

// MinRate is the minimum rate in requests per second at which tokens are granted. It allows a
// probe every ten seconds of a runner whose limit is 0.
const MinRate = 0.1

// Report is a router's report of a change of a rate that a runner announces, for itself or for its service.
type Report struct {
	// Instance is the runner, or the service if the rate is one that all runners of it announce.
	Instance string
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// IsEnded is set if the runner no longer announces a limit.
	IsEnded bool
}

// Limits holds the runners' limits that routers reported to the leader. A limit holds until a later
// answer announces none. Create one with NewLimits. Its methods are not safe for concurrent use.
type Limits struct {
	perSecond map[string]float64
}

// NewLimits returns an empty Limits.
func NewLimits() *Limits {
	return &Limits{perSecond: make(map[string]float64)}
}

// Observe records a report. It reports whether the limit changed.
func (l *Limits) Observe(report Report) bool {
	known, isKnown := l.perSecond[report.Instance]
	if report.IsEnded {
		delete(l.perSecond, report.Instance)
		return isKnown
	}
	perSecond := max(MinRate, report.PerSecond)
	l.perSecond[report.Instance] = perSecond
	return !isKnown || known != perSecond
}

// Of returns the limit of a runner in requests per second, at least MinRate; 0 if it has none.
func (l *Limits) Of(instance string) float64 { return l.perSecond[instance] }

// Len returns the number of runners with a limit.
func (l *Limits) Len() int { return len(l.perSecond) }

// Forget deletes the limits of runners that are no longer listed.
func (l *Limits) Forget(isListed func(instance string) bool) {
	for instance := range l.perSecond {
		if !isListed(instance) {
			delete(l.perSecond, instance)
		}
	}
}
