package relay

import "time"

// RetryRule bounds the retries of all routers: in each window, Ratio times the number of requests
// of a service, plus Extra.
type RetryRule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// budgetSlots is the number of slots of the window.
	budgetSlots = 100
	// extraShare is the fraction of Extra that is distributed. The rest covers routers that have
	// just started, of which the others do not know yet.
	extraShare = 0.8
)

// budget is one router's share of a RetryRule for one service. Create one with newBudget.
type budget struct {
	rule RetryRule
	// startedAt is when the router started.
	startedAt time.Time
	// origin is the time of the first call. Slots are counted from it by the monotonic clock, as
	// the wall clock may jump.
	origin  time.Time
	slots   [budgetSlots + 1]budgetSlot
	current int64
}

type budgetSlot struct {
	requests int
	repeats  int
}

// countHold is how long a number of routers is kept after a report of fewer.
func (r RetryRule) countHold() time.Duration { return routerCountTTL + r.Window }

// share returns the retries in a window that a router that started at the given time may use beyond Ratio of its own
// requests. The process that it replaces may have used the same share until then, so this one has none until the retries of
// the other have left the window.
func (r RetryRule) share(startedAt, now time.Time, count *routerCount) float64 {
	if now.Before(startedAt.Add(r.Window)) {
		return 0
	}
	return count.share(now, r.Extra)
}

// newBudget returns the budget of a router that started at the given time.
func newBudget(rule RetryRule, startedAt time.Time) *budget {
	return &budget{rule: rule, startedAt: startedAt}
}

func (b *budget) addRequest(now time.Time) { b.currentSlot(now).requests++ }

// tryRepeat counts a retry and returns true if the budget allows one.
func (b *budget) tryRepeat(now time.Time, count *routerCount) bool {
	if !b.allowsRepeat(now, count) {
		return false
	}
	b.currentSlot(now).repeats++
	return true
}

// allowsRepeat reports whether the budget allows a retry now.
func (b *budget) allowsRepeat(now time.Time, count *routerCount) bool {
	b.currentSlot(now)
	requests, repeats := 0, 0
	for _, each := range b.slots {
		requests += each.requests
		repeats += each.repeats
	}
	// All slots together are longer than the window, in which these requests may not have arrived.
	requests -= b.oldestSlot().requests
	return float64(repeats+1) <= b.rule.Ratio*float64(requests)+b.rule.share(b.startedAt, now, count)
}

// useReserved counts a retry that was taken from the budget at the given time as one that is sent now. If it has left the window
// meanwhile, another one is taken; it returns false if the budget does not allow that.
func (b *budget) useReserved(takenAt, now time.Time, count *routerCount) bool {
	current := b.currentSlot(now)
	taken := b.slotAt(takenAt)
	if taken == nil || taken.repeats == 0 {
		return b.tryRepeat(now, count)
	}
	taken.repeats--
	current.repeats++
	return true
}

// slotAt returns the slot of an earlier time, or nil if it has left the window.
func (b *budget) slotAt(at time.Time) *budgetSlot {
	number := int64(at.Sub(b.origin) / b.slotWidth())
	if number < 0 || number <= b.current-int64(len(b.slots)) {
		return nil
	}
	return &b.slots[number%int64(len(b.slots))]
}

// oldestSlot returns the slot before those of the current window.
func (b *budget) oldestSlot() *budgetSlot { return &b.slots[(b.current+1)%int64(len(b.slots))] }

// slotWidth returns the length of a slot.
func (b *budget) slotWidth() time.Duration {
	if width := b.rule.Window / budgetSlots; width > 0 {
		return width
	}
	return time.Second
}

// currentSlot returns the slot of now after clearing those that have left the window.
func (b *budget) currentSlot(now time.Time) *budgetSlot {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin) / b.slotWidth())
	for passed := min(number-b.current, int64(len(b.slots))); passed > 0; passed-- {
		b.slots[(number-passed+1)%int64(len(b.slots))] = budgetSlot{}
	}
	b.current = max(b.current, number)
	return &b.slots[b.current%int64(len(b.slots))]
}
