package relay

import "time"

// RetryRule bounds repeated sendings over all routers: in each window, the Ratio of
// the requests of a service and Extra more.
type RetryRule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// budgetSlots divide the window.
	budgetSlots = 20
	// extraShare is the part of Extra that is handed out; the rest is kept for
	// routers that were not known when it was divided.
	extraShare = 0.8
	// grantLife is how long a router may use its part of Extra without having heard
	// how many routers there are.
	grantLife = 10 * time.Second
)

// budget is one router's part of a RetryRule for one service. The leader says how
// many routers there are; it counts one for longer than its grant lives.
type budget struct {
	rule RetryRule
	// origin is the first time that was seen. Slots are counted from it by the steady
	// clock: the time of day may jump.
	origin  time.Time
	slots   [budgetSlots + 1]budgetSlot
	current int64
}

type budgetSlot struct {
	requests int
	repeats  int
}

// grant is what a router last heard of the number of routers.
type grant struct {
	routers int
	at      time.Time
}

// share is the router's part of what is granted to all together.
func (g grant) share(now time.Time, extra float64) float64 {
	if g.routers <= 0 || now.Sub(g.at) > grantLife {
		return 0
	}
	return extra * extraShare / float64(g.routers)
}

// request counts a request.
func (b *budget) request(now time.Time) { b.slot(now).requests++ }

// withdraw counts a repeated sending if the budget allows one.
func (b *budget) withdraw(now time.Time, granted grant) bool {
	slot := b.slot(now)
	requests, repeats := 0, 0
	for _, each := range b.slots {
		requests += each.requests
		repeats += each.repeats
	}
	if float64(repeats+1) > b.rule.Ratio*float64(requests)+granted.share(now, b.rule.Extra) {
		return false
	}
	slot.repeats++
	return true
}

// slot returns the present slot after clearing those that have left the window.
func (b *budget) slot(now time.Time) *budgetSlot {
	width := b.rule.Window / budgetSlots
	if width <= 0 {
		width = time.Second
	}
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin) / width)
	for passed := min(number-b.current, int64(len(b.slots))); passed > 0; passed-- {
		b.slots[(number-passed+1)%int64(len(b.slots))] = budgetSlot{}
	}
	b.current = max(b.current, number)
	return &b.slots[b.current%int64(len(b.slots))]
}
