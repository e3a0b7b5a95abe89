package ratelimit

import "time"

// LimitCache is a router's cache of the rates that runners announce, from the answers it receives and from the
// leader's views: by runner, or by service for a rate that all runners of a service announce. Create one with NewLimitCache. Its methods are not safe for concurrent
// use.
type LimitCache struct {
	runners map[string]*cachedLimit
	// pending holds the reports that the leader has not acknowledged. leaderEpoch counts changes of
	// the leader.
	pending     map[string]Report
	leaderEpoch uint64
}

// cachedLimit is the limit of one runner.
type cachedLimit struct {
	perSecond float64
	isLimited bool
	// updatedAt is the time of the last change. leaderRate is the limit in the leader's last view;
	// 0 for none.
	updatedAt  time.Time
	leaderRate float64
}

// NewLimitCache returns an empty LimitCache.
func NewLimitCache() *LimitCache {
	return &LimitCache{runners: make(map[string]*cachedLimit), pending: make(map[string]Report)}
}

// ObserveAnswer processes the answer to a request sent at the given time. It reports whether the limit
// changed. An answer without a limit removes the cached one only if its request was sent after the
// limit became known, since answers may arrive out of order.
func (b *LimitCache) ObserveAnswer(now, sent time.Time, instance string, notice Notice) bool {
	known := b.runners[instance]
	switch {
	case notice.Problem != "":
		return false
	case notice.IsNamed:
		if known == nil {
			known = &cachedLimit{}
			b.runners[instance] = known
		}
		if known.isLimited && known.perSecond == notice.PerSecond {
			return false
		}
		known.perSecond, known.isLimited, known.updatedAt = notice.PerSecond, true, now
		b.pending[instance] = Report{Instance: instance, PerSecond: notice.PerSecond}
		return true
	case known == nil || !known.isLimited || !sent.After(known.updatedAt):
		return false
	}
	known.isLimited = false
	b.pending[instance] = Report{Instance: instance, IsEnded: true}
	b.deleteIfUnlimited(instance)
	return true
}

// ApplyView applies the limit in a leader's view, in requests per second; 0 for none. Unacknowledged
// reports of this router take precedence. A view without a limit removes the cached one only if an
// earlier view of this leader had one, since the leader may not know the limit yet.
func (b *LimitCache) ApplyView(now time.Time, instance string, perSecond float64) {
	known := b.runners[instance]
	if known == nil {
		if perSecond <= 0 {
			return
		}
		known = &cachedLimit{}
		b.runners[instance] = known
	}
	before := known.leaderRate
	known.leaderRate = perSecond
	if _, isNewer := b.pending[instance]; isNewer || before == perSecond {
		return
	}
	known.perSecond, known.isLimited, known.updatedAt = perSecond, perSecond > 0, now
	b.deleteIfUnlimited(instance)
}

// deleteIfUnlimited deletes the entry of a runner without any limit.
func (b *LimitCache) deleteIfUnlimited(instance string) {
	if known := b.runners[instance]; !known.isLimited && known.leaderRate <= 0 {
		delete(b.runners, instance)
	}
}

// Of returns the limit of a runner in requests per second. isNamed is false if it has none.
func (b *LimitCache) Of(instance string) (perSecond float64, isNamed bool) {
	if known := b.runners[instance]; known != nil && known.isLimited {
		return known.perSecond, true
	}
	return 0, false
}

// IsEmpty reports whether the cache has no entries.
func (b *LimitCache) IsEmpty() bool { return len(b.runners) == 0 }

// Len returns the number of runners with a limit.
func (b *LimitCache) Len() int {
	count := 0
	for _, known := range b.runners {
		if known.isLimited {
			count++
		}
	}
	return count
}

// Forget deletes the entry of a runner that is no longer listed.
func (b *LimitCache) Forget(instance string) {
	delete(b.runners, instance)
	delete(b.pending, instance)
}

// ResendAll queues reports of all limits for a new leader.
func (b *LimitCache) ResendAll() {
	b.leaderEpoch++
	for instance, known := range b.runners {
		known.leaderRate = 0
		if known.isLimited {
			b.pending[instance] = Report{Instance: instance, PerSecond: known.perSecond}
		}
	}
}

// PendingReports holds the reports that the leader has not acknowledged.
type PendingReports struct {
	Reports     []Report
	leaderEpoch uint64
}

// Pending returns the pending reports. They stay pending until Acknowledge is called.
func (b *LimitCache) Pending() PendingReports {
	reports := PendingReports{leaderEpoch: b.leaderEpoch}
	for _, report := range b.pending {
		reports.Reports = append(reports.Reports, report)
	}
	return reports
}

// Acknowledge marks the reports as acknowledged, unless the leader has changed since.
func (b *LimitCache) Acknowledge(reports PendingReports) {
	if reports.leaderEpoch != b.leaderEpoch {
		return
	}
	for _, report := range reports.Reports {
		if b.pending[report.Instance] == report {
			delete(b.pending, report.Instance)
		}
	}
}
