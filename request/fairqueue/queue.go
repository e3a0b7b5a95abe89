package fairqueue

import (
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/waiting"
)

const (
	// dueMargin is how long before it is late a request goes before those that are late already:
	// as long as several callers of the most urgent kinds can wait, some hundreds of ms each.
	dueMargin = time.Second
	// maxAhead is by how much the clock of a tenant may differ from the virtual time, in tokens
	// over weight: some seconds of what a router passes on for a large tenant. It bounds for how
	// long a tenant pays for what it was given when nobody else wanted it, and what it may take
	// from others after there was no room for it alone.
	maxAhead = 50000
	// aheadTime is over which that fades while the tenant has nothing that waits: the time over which
	// callers notice who is served.
	aheadTime = 2 * time.Second
	// plainWork is the work of a request that does not tell its size, in tokens: one that is
	// not a generation takes about as long as a short one.
	plainWork = 200
	// defaultWeight is that of tenants that have none.
	defaultWeight = 1
)

// Queue orders the requests of all rows. Requests of a row need the same, so that if there is
// no room for one, there is none for any. The zero value is not usable.
type Queue[V any] struct {
	tenants map[string]*tenant
	// now is the virtual time: the clock of the tenant that was last let in.
	now float64
	// toldUntil is until when the word on shares counts.
	toldUntil time.Time
	// rows are those in which requests wait.
	rows []*Row[V]
	// open is kept to spare its allocation.
	open []candidate[V]
}

// tenant has the clock of one tenant.
type tenant struct {
	name   string
	clock  float64
	weight float64
	// waiting counts its requests that wait, and at is when the clock last faded.
	waiting int
	at      time.Time
	// done is the work that was let in since it was last taken.
	done float64
	// isAbove is set while the tenant is said to be above its share.
	isAbove bool
}

// Row holds the requests that wait for the same room.
type Row[V any] struct {
	flows []*flow[V]
	size  int
	// place is that in the list of rows in which requests wait.
	place int
	meter meter
}

// flow lists the requests of one tenant and rank that wait in a row, the one that is late first
// in front.
type flow[V any] struct {
	tenant  *tenant
	rank    int
	entries []*Entry[V]
}

// Entry is a request that waits.
type Entry[V any] struct {
	Ticket waiting.Ticket
	Value  V
	row    *Row[V]
	flow   *flow[V]
}

// New makes an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{tenants: make(map[string]*tenant)} }

// Work is the work that a request is taken to need.
func Work(ticket waiting.Ticket) float64 {
	if work := ticket.Work(); work > 0 {
		return float64(work)
	}
	return plainWork
}

// SetWeight sets the part of a tenant against those of others; 1 is that of tenants that have
// none.
func (q *Queue[V]) SetWeight(name string, weight float64) {
	if weight > 0 {
		q.tenant(name).weight = weight
	}
}

// SetWeights sets the parts of all tenants, by name. Clocks go by their ratios alone, so that they
// are made 1 on average.
func (q *Queue[V]) SetWeights(weights map[string]float64) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for name, weight := range weights {
		q.SetWeight(name, weight*float64(len(weights))/sum)
	}
	for name, known := range q.tenants {
		if weights[name] == 0 && known.waiting == 0 {
			delete(q.tenants, name)
		}
	}
}

func (q *Queue[V]) tenant(name string) *tenant {
	known := q.tenants[name]
	if known == nil {
		known = &tenant{name: name, clock: q.now, weight: defaultWeight}
		q.tenants[name] = known
	}
	return known
}

// Charge counts work that was let in for a tenant without waiting, or that was used beyond what
// was counted; below 0 it gives work back.
func (q *Queue[V]) Charge(at time.Time, name string, work float64) {
	known := q.tenant(name)
	q.fade(at, known)
	known.done += work
	known.clock = min(known.clock+work/known.weight, q.now+maxAhead)
}

// fade brings a clock nearer to the virtual time while the tenant does not wait. It has no claim
// to the time in which it asked for nothing.
func (q *Queue[V]) fade(at time.Time, known *tenant) {
	if known.waiting > 0 {
		return
	}
	ahead := max(0, known.clock-q.now)
	if passed := at.Sub(known.at); passed > 0 {
		ahead *= math.Exp(-passed.Seconds() / aheadTime.Seconds())
		known.at = at
	}
	known.clock = q.now + ahead
}

// Push adds a request to those that wait in a row.
func (q *Queue[V]) Push(at time.Time, row *Row[V], entry *Entry[V]) {
	owner := q.tenant(entry.Ticket.Tenant)
	q.fade(at, owner)
	owner.waiting++
	if row.size == 0 {
		row.place = len(q.rows)
		q.rows = append(q.rows, row)
		row.meter.begin(at)
	}
	row.size++
	entry.row = row
	entry.flow = row.flow(owner, entry.Ticket.Rank)
	entry.flow.insert(entry)
}

// insert keeps the order. One that is late at the same time as others comes after them.
func (f *flow[V]) insert(entry *Entry[V]) {
	place := len(f.entries)
	for place > 0 && entry.Ticket.Due.Before(f.entries[place-1].Ticket.Due) {
		place--
	}
	f.entries = slices.Insert(f.entries, place, entry)
}

func (r *Row[V]) flow(owner *tenant, rank int) *flow[V] {
	for _, each := range r.flows {
		if each.tenant == owner && each.rank == rank {
			return each
		}
	}
	added := &flow[V]{tenant: owner, rank: rank}
	r.flows = append(r.flows, added)
	return added
}

// Remove takes a request out of those that wait. It reports false if it does not.
func (q *Queue[V]) Remove(entry *Entry[V]) bool {
	row, from := entry.row, entry.flow
	if row == nil {
		return false
	}
	place := slices.Index(from.entries, entry)
	from.entries = slices.Delete(from.entries, place, place+1)
	if len(from.entries) == 0 {
		row.flows = slices.DeleteFunc(row.flows, func(each *flow[V]) bool { return each == from })
	}
	if row.size--; row.size == 0 {
		last := len(q.rows) - 1
		q.rows[row.place] = q.rows[last]
		q.rows[row.place].place = row.place
		q.rows[last] = nil
		q.rows = q.rows[:last]
	}
	from.tenant.waiting--
	entry.row, entry.flow = nil, nil
	return true
}

// LetIn takes a request out of those that wait and counts its work.
func (q *Queue[V]) LetIn(at time.Time, entry *Entry[V]) {
	owner := entry.flow.tenant
	entry.row.meter.add(at)
	q.Remove(entry)
	owner.clock = max(owner.clock, q.now-maxAhead)
	q.now = max(q.now, owner.clock)
	owner.clock += Work(entry.Ticket) / owner.weight
	owner.done += Work(entry.Ticket)
}

// Len is how many requests wait in the row.
func (r *Row[V]) Len() int { return r.size }

// Each calls visit for all requests that wait in the row until it returns false. The row must not
// be changed meanwhile.
func (r *Row[V]) Each(visit func(*Entry[V]) bool) {
	for _, each := range r.flows {
		for _, entry := range each.entries {
			if !visit(entry) {
				return
			}
		}
	}
}
