package fairqueue

import (
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/waiting"
)

const (
	// dueMargin is the time before its due time from which a request goes before overdue ones:
	// several objectives of the most urgent classes.
	dueMargin = time.Second
	// maxClockLead bounds the difference of a tenant's clock from the virtual time, in tokens over
	// weight: a few seconds of a large tenant's work. It bounds the debt for work served without
	// competition, and the credit of a tenant whose requests alone had no room.
	maxClockLead = 50000
	// clockDecayTime is the time constant with which the lead of an idle tenant decays.
	clockDecayTime = 2 * time.Second
	// defaultWork is the assumed work of a request of unknown size, in tokens; requests other
	// than generations take about as long as a short one.
	defaultWork = 200
	// defaultWeight is the weight of tenants without a configured one.
	defaultWeight = 1
)

// Queue orders the requests of all rows. If there is no room for one request of a row, there
// is none for any other of it. Use New to create one; it is not safe for concurrent use.
type Queue[V any] struct {
	tenants map[string]*tenant
	// virtualTime is the clock of the tenant that was admitted last.
	virtualTime float64
	// sharesUntil is when the report on shares expires.
	sharesUntil time.Time
	// rows are those with waiting requests.
	rows []*Row[V]
	// candidates is reused to avoid an allocation.
	candidates []candidate[V]
}

// tenant holds the virtual clock of one tenant.
type tenant struct {
	name   string
	clock  float64
	weight float64
	// waiting counts its waiting requests; decayedAt is when the clock last decayed.
	waiting   int
	decayedAt time.Time
	// done is the work admitted since the last call of TakeWork.
	done float64
	// isAboveShare is set if the leader reports the tenant as above its share.
	isAboveShare bool
}

// Row holds the waiting requests that compete for the same resources.
type Row[V any] struct {
	flows []*flow[V]
	size  int
	// index is the position in Queue.rows.
	index int
	meter meter
}

// flow lists the waiting requests of one tenant and rank in a row, ordered by due time.
type flow[V any] struct {
	tenant  *tenant
	rank    int
	entries []*Entry[V]
}

// Entry is a waiting request.
type Entry[V any] struct {
	Ticket waiting.Ticket
	Value  V
	row    *Row[V]
	flow   *flow[V]
}

// New returns an empty Queue.
func New[V any]() *Queue[V] { return &Queue[V]{tenants: make(map[string]*tenant)} }

// Work returns the estimated work of a request, in tokens.
func Work(ticket waiting.Ticket) float64 {
	if work := ticket.Work(); work > 0 {
		return float64(work)
	}
	return defaultWork
}

// SetWeight sets the weight of a tenant; the default is 1.
func (q *Queue[V]) SetWeight(name string, weight float64) {
	if weight > 0 {
		q.tenant(name).weight = weight
	}
}

// SetWeights sets the weights of all tenants by name, normalized to a mean of 1.
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
		known = &tenant{name: name, clock: q.virtualTime, weight: defaultWeight}
		q.tenants[name] = known
	}
	return known
}

// Charge counts work that was admitted for a tenant without waiting, or used beyond the
// estimate; negative work gives it back.
func (q *Queue[V]) Charge(at time.Time, name string, work float64) {
	known := q.tenant(name)
	q.decay(at, known)
	known.done += work
	known.clock = min(known.clock+work/known.weight, q.virtualTime+maxClockLead)
}

// decay moves the clock of a tenant without waiting requests towards the virtual time. An idle
// tenant accumulates no credit.
func (q *Queue[V]) decay(at time.Time, known *tenant) {
	if known.waiting > 0 {
		return
	}
	lead := max(0, known.clock-q.virtualTime)
	if passed := at.Sub(known.decayedAt); passed > 0 {
		lead *= math.Exp(-passed.Seconds() / clockDecayTime.Seconds())
		known.decayedAt = at
	}
	known.clock = q.virtualTime + lead
}

// Push adds a request to a row.
func (q *Queue[V]) Push(at time.Time, row *Row[V], entry *Entry[V]) {
	owner := q.tenant(entry.Ticket.Tenant)
	q.decay(at, owner)
	owner.waiting++
	if row.size == 0 {
		row.index = len(q.rows)
		q.rows = append(q.rows, row)
		row.meter.reset(at)
	}
	row.size++
	entry.row = row
	entry.flow = row.flow(owner, entry.Ticket.Rank)
	entry.flow.insert(entry)
}

// insert adds the entry in order of due time, after entries with the same one.
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

// Remove removes a waiting request. It reports false if the entry does not wait.
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
		q.rows[row.index] = q.rows[last]
		q.rows[row.index].index = row.index
		q.rows[last] = nil
		q.rows = q.rows[:last]
	}
	from.tenant.waiting--
	entry.row, entry.flow = nil, nil
	return true
}

// Admit removes a waiting request and counts its work.
func (q *Queue[V]) Admit(at time.Time, entry *Entry[V]) {
	owner := entry.flow.tenant
	entry.row.meter.add(at)
	q.Remove(entry)
	owner.clock = max(owner.clock, q.virtualTime-maxClockLead)
	q.virtualTime = max(q.virtualTime, owner.clock)
	owner.clock += Work(entry.Ticket) / owner.weight
	owner.done += Work(entry.Ticket)
}

// Len returns the number of requests waiting in the row.
func (r *Row[V]) Len() int { return r.size }

// Each calls visit for each request waiting in the row until it returns false. The row must
// not be modified meanwhile.
func (r *Row[V]) Each(visit func(*Entry[V]) bool) {
	for _, each := range r.flows {
		for _, entry := range each.entries {
			if !visit(entry) {
				return
			}
		}
	}
}
