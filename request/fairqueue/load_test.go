package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/waiting"
)

// loadClass is a kind of requests; perSecond is over all tenants and routers.
type loadClass struct {
	name      string
	work      int64
	perSecond float64
	objective time.Duration
	wait      time.Duration
}

var loadClasses = []loadClass{
	{name: "urgent", work: 716, perSecond: 293, objective: 400 * time.Millisecond, wait: 5 * time.Second},
	{name: "patient", work: 716, perSecond: 57, objective: 6 * time.Second, wait: 17 * time.Second},
	{name: "long", work: 9239, perSecond: 13, objective: 600 * time.Millisecond, wait: 4 * time.Second},
}

const (
	loadRouters = 80
	loadTenants = 16
	hotTenants  = 2
	// loadPlaces is how many requests of a router run at once, each at loadSpeed tokens a second:
	// three times what all tenants use usually.
	loadPlaces = 2
	loadSpeed  = 7160
	loadTime   = 20 * time.Second
	// loadPatience is the part of its time that a request waits, as in the relay.
	loadPatience = 0.45
)

// part is what a tenant uses of the whole: the first two have a fifth each, the others ever less.
func part(tenant int) float64 {
	if tenant < hotTenants {
		return 0.2
	}
	sum := 0.0
	for i := hotTenants; i < loadTenants; i++ {
		sum += 1 / float64(i)
	}
	return 0.6 / float64(tenant) / sum
}

type loadTally struct{ asked, inTime, late, refused int }

func (t loadTally) lost() float64 { return 1 - float64(t.inTime)/float64(t.asked) }

type loadKey struct {
	isHot bool
	class string
}

// loadRouter is one router with its places.
type loadRouter struct {
	queue *Queue[*loadRequest]
	row   Row[*loadRequest]
	free  []time.Time
}

type loadRequest struct {
	entry  Entry[*loadRequest]
	ticket waiting.Ticket
	until  time.Time
	tally  *loadTally
}

// playLoad plays tenants that share all routers, two of them at a multiple of their use, with
// bursts of the patient class. Without isFair all wait in the order in which they came.
//
// With wordEvery, a leader adds up what the routers tell it, and they hear of it that often.
func playLoad(factor float64, isFair bool, wordEvery time.Duration) map[loadKey]*loadTally {
	random := rand.New(rand.NewPCG(5, 5))
	tallies := make(map[loadKey]*loadTally)
	for _, class := range loadClasses {
		tallies[loadKey{true, class.name}], tallies[loadKey{false, class.name}] = &loadTally{}, &loadTally{}
	}
	routers := make([]loadRouter, loadRouters)
	for i := range routers {
		routers[i].queue, routers[i].free = New[*loadRequest](), make([]time.Time, loadPlaces)
		for tenant := range loadTenants {
			if isFair {
				routers[i].queue.SetWeight(fmt.Sprint(tenant), part(tenant)*loadTenants)
			}
		}
	}
	book := newLoadBook()
	for now := start; now.Before(start.Add(loadTime)); now = now.Add(time.Millisecond) {
		isBurst := now.Sub(start)%(5*time.Second) < time.Second
		for _, class := range loadClasses {
			for tenant := range loadTenants {
				rate := class.perSecond * part(tenant)
				if tenant < hotTenants {
					rate *= factor
				}
				if isBurst && class.name == "patient" {
					rate *= 2.5
				}
				if random.Float64() < rate/1000 {
					tally := tallies[loadKey{tenant < hotTenants, class.name}]
					routers[random.IntN(loadRouters)].arrive(now, newLoadRequest(now, tenant, class, tally, isFair))
				}
			}
		}
		for i := range routers {
			routers[i].serve(now)
		}
		if wordEvery > 0 && now.Sub(start)%wordEvery == 0 {
			// What they hear is from before their own report, so that it is as old again.
			word := book.Word(now)
			for i := range routers {
				routers[i].queue.SetShares(now, word)
				book.Observe(now, fmt.Sprint(i), routers[i].queue.TakeWork())
			}
		}
	}
	return tallies
}

// newLoadBook is that of a leader that has led for a minute.
func newLoadBook() *shares.Book {
	book := shares.New(start.Add(-time.Minute))
	var listed []site.Tenant
	for tenant := range loadTenants {
		listed = append(listed, site.Tenant{Name: fmt.Sprint(tenant), Limit: site.RateLimit{Rate: part(tenant)}})
	}
	book.SetTenants(listed)
	return book
}

func newLoadRequest(now time.Time, tenant int, class loadClass, tally *loadTally, isFair bool) *loadRequest {
	tally.asked++
	request := &loadRequest{tally: tally, until: now.Add(time.Duration(float64(class.wait) * loadPatience)), ticket: waiting.Ticket{
		Tenant: fmt.Sprint(tenant), Class: class.name, Arrived: now, Due: now.Add(class.objective), Prompt: class.work,
	}}
	request.entry = Entry[*loadRequest]{Ticket: request.ticket, Value: request}
	if !isFair {
		request.entry.Ticket.Tenant, request.entry.Ticket.Due = "", now
	}
	return request
}

func (r *loadRouter) arrive(now time.Time, request *loadRequest) {
	r.queue.Push(now, &r.row, &request.entry)
}

func (r *loadRouter) serve(now time.Time) {
	var leaving []*loadRequest
	r.row.Each(func(entry *Entry[*loadRequest]) bool {
		if now.After(entry.Value.until) {
			leaving = append(leaving, entry.Value)
		}
		return true
	})
	for _, request := range leaving {
		r.queue.Remove(&request.entry)
		request.tally.refused++
	}
	r.queue.Serve(now, func(entry *Entry[*loadRequest]) bool {
		for i := range r.free {
			if r.free[i].After(now) {
				continue
			}
			request := entry.Value
			r.free[i] = now.Add(time.Duration(float64(request.ticket.Prompt) / loadSpeed * float64(time.Second)))
			if now.After(request.ticket.Due) {
				request.tally.late++
			} else {
				request.tally.inTime++
			}
			return true
		}
		return false
	})
}

// The load: 80 routers with 16 tenants, of which the two largest come to six times their use, and the
// patient kind of requests in bursts of 2.5 times. What callers need: a tenant that keeps to its
// share must not be the one that pays, and who is refused is whoever is above it.
func TestRushOfTwoTenantsIsTheirOwn(t *testing.T) {
	c := qt.New(t)
	calm, before, alone := playLoad(1, true, 0), playLoad(6, false, 0), playLoad(6, true, 0)
	for _, wordEvery := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		after := playLoad(6, true, wordEvery)
		for _, class := range loadClasses {
			for _, isHot := range []bool{false, true} {
				key := loadKey{isHot, class.name}
				t.Logf("word every %v, hot %v, %s: calm %+v, first come first served %+v, without word %+v, with it %+v",
					wordEvery, isHot, class.name, *calm[key], *before[key], *alone[key], *after[key])
			}
			quiet := loadKey{false, class.name}
			t.Logf("%s of the others not in time: calm %.3f, first come first served %.3f, without word %.3f, with it %.3f", class.name,
				calm[quiet].lost(), before[quiet].lost(), alone[quiet].lost(), after[quiet].lost())
			if wordEvery >= wordLife {
				// Such a word fades before the next, and the clocks of each router decide between.
				c.Check(after[quiet].lost() <= alone[quiet].lost(), qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
				continue
			}
			c.Check(after[quiet].refused <= after[quiet].asked/100, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
			// A place may be taken by a long request for a second: nothing is taken back.
			c.Check(after[quiet].lost() <= calm[quiet].lost()+0.06, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
		}
	}
}
