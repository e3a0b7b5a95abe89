package fairqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/waiting"
)

var start = time.Unix(1000, 0)

func entryOf(tenant string, rank int, arrived time.Time, objective time.Duration, work int64) *Entry[string] {
	return &Entry[string]{Value: tenant, Ticket: waiting.Ticket{
		Tenant: tenant, Rank: rank, Arrived: arrived, Due: arrived.Add(objective), Prompt: work,
	}}
}

// serveOne admits the first request.
func serveOne(q *Queue[string], now time.Time) *Entry[string] {
	var served *Entry[string]
	q.Serve(now, func(entry *Entry[string]) bool {
		if served != nil {
			return false
		}
		served = entry
		return true
	})
	return served
}

// The fairness bound of start-time fair queueing: between two backlogged tenants, work over weight
// differs by at most the sum of the largest request of each over its weight.
func TestBackloggedTenantsAreServedByWeight(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			q, row := New[string](), &Row[string]{}
			const tenants = 6
			var weight, largest, given [tenants]float64
			push := func(i int) {
				work := 1 + random.Int64N(int64(largest[i]))
				q.Push(start, row, entryOf(fmt.Sprint(i), 0, start, time.Duration(random.IntN(5000))*time.Millisecond, work))
			}
			for i := range tenants {
				weight[i], largest[i] = float64(1+random.IntN(4)), float64(10+random.IntN(9000))
				q.SetWeight(fmt.Sprint(i), weight[i])
			}
			for i := range tenants {
				push(i)
				push(i)
			}
			for step := range 3000 {
				served := serveOne(q, start.Add(time.Duration(step)*time.Millisecond))
				var i int
				fmt.Sscan(served.Ticket.Tenant, &i)
				given[i] += Work(served.Ticket)
				push(i)
				for a := range tenants {
					for b := range a {
						difference := math.Abs(given[a]/weight[a] - given[b]/weight[b])
						c.Assert(difference <= largest[a]/weight[a]+largest[b]/weight[b], qt.IsTrue, qt.Commentf("step %d, tenants %d and %d: %g", step, a, b, difference))
					}
				}
			}
		})
	}
}

func TestOrder(t *testing.T) {
	ms := func(count int) time.Duration { return time.Duration(count) * time.Millisecond }
	for _, test := range []struct {
		name    string
		entries []*Entry[string]
		at      time.Duration
		first   int
	}{
		{"lower rank", []*Entry[string]{entryOf("a", 1, start, ms(100), 1), entryOf("b", 0, start, ms(900), 1)}, 0, 1},
		{"short objective before long", []*Entry[string]{
			entryOf("a", 0, start, ms(6000), 1), entryOf("a", 0, start.Add(ms(500)), ms(400), 1)}, ms(500), 1},
		{"long objective within the due margin", []*Entry[string]{
			entryOf("a", 0, start, ms(6000), 1), entryOf("a", 0, start.Add(ms(5700)), ms(400), 1)}, ms(5700), 0},
		{"due soon before overdue", []*Entry[string]{
			entryOf("a", 0, start, ms(400), 1), entryOf("a", 0, start.Add(ms(500)), ms(400), 1)}, ms(500), 1},
		{"overdue before not yet due", []*Entry[string]{
			entryOf("a", 0, start.Add(ms(300)), ms(6000), 1), entryOf("a", 0, start, ms(400), 1)}, ms(500), 1},
		{"first of the overdue", []*Entry[string]{
			entryOf("a", 0, start.Add(ms(100)), ms(400), 1), entryOf("a", 0, start, ms(400), 1)}, ms(900), 1},
	} {
		for _, rows := range []int{1, 2} {
			t.Run(fmt.Sprint(test.name, ", rows: ", rows), func(t *testing.T) {
				c := qt.New(t)
				q := New[string]()
				waiting := []*Row[string]{{}, {}}
				for i, entry := range test.entries {
					q.Push(start, waiting[i%rows], entry)
				}
				c.Assert(serveOne(q, start.Add(test.at)), qt.Equals, test.entries[test.first])
			})
		}
	}
}

func TestChargedTenantYieldsToOthers(t *testing.T) {
	c := qt.New(t)
	q, row := New[string](), &Row[string]{}
	q.Charge(start, "hot", 9000)
	hot, quiet := entryOf("hot", 0, start, time.Second, 700), entryOf("quiet", 0, start, time.Second, 700)
	q.Push(start, row, hot)
	q.Push(start, row, quiet)
	c.Assert(serveOne(q, start), qt.Equals, quiet)
	// The charge has decayed after a long time.
	q.Remove(hot)
	later := start.Add(10 * clockDecayTime)
	q.Charge(later, "quiet", 700)
	q.Push(later, row, hot)
	q.Push(later, row, quiet)
	c.Assert(serveOne(q, later), qt.Equals, hot)
}

func TestRemove(t *testing.T) {
	c := qt.New(t)
	q, row := New[string](), &Row[string]{}
	first, second := entryOf("a", 0, start, time.Second, 1), entryOf("a", 0, start, time.Second, 1)
	q.Push(start, row, first)
	q.Push(start, row, second)
	c.Assert(q.Remove(first), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsFalse)
	c.Assert(row.Len(), qt.Equals, 1)
	c.Assert(serveOne(q, start), qt.Equals, second)
	c.Assert(row.Len(), qt.Equals, 0)
	c.Assert(serveOne(q, start), qt.IsNil)
}

// Other rows are tried if there is no room for the first one.
func TestFullRowDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	q := New[string]()
	full, free := &Row[string]{}, &Row[string]{}
	q.Push(start, full, entryOf("a", 0, start, time.Millisecond, 1))
	q.Push(start, full, entryOf("a", 0, start, time.Millisecond, 1))
	q.Push(start, free, entryOf("b", 1, start, time.Second, 1))
	tried := 0
	q.Serve(start, func(entry *Entry[string]) bool {
		tried++
		return entry.Value == "b"
	})
	c.Assert(tried, qt.Equals, 2)
	c.Assert(full.Len(), qt.Equals, 2)
	c.Assert(free.Len(), qt.Equals, 0)
}

// No sequence of operations loses a request or admits one twice.
func TestRandomOperationsLoseNoEntry(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		q := New[string]()
		rows := []*Row[string]{{}, {}, {}}
		present := make(map[*Entry[string]]bool)
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 7 * time.Millisecond)
			switch random.IntN(3) {
			case 0:
				entry := entryOf(fmt.Sprint(random.IntN(4)), random.IntN(2), now, time.Duration(random.IntN(3000))*time.Millisecond, random.Int64N(100))
				q.Push(now, rows[random.IntN(3)], entry)
				present[entry] = true
			case 1:
				for entry := range present {
					c.Assert(q.Remove(entry), qt.IsTrue)
					delete(present, entry)
					break
				}
			default:
				if served := serveOne(q, now); served != nil {
					c.Assert(present[served], qt.IsTrue)
					delete(present, served)
				} else {
					c.Assert(present, qt.HasLen, 0)
				}
			}
			c.Assert(rows[0].Len()+rows[1].Len()+rows[2].Len(), qt.Equals, len(present))
		}
	}
}
