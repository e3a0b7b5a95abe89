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

// loadClass is a kind of request; perSecond is the rate over all tenants and routers.
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
	// loadSlots is the number of concurrent requests per router, each at loadSpeed tokens per second:
	// three times the usual use of all tenants.
	loadSlots = 2
	loadSpeed = 7160
	loadTime  = 20 * time.Second
	// waitShare is the share of its time limit that a request waits, as in the relay.
	waitShare = 0.45
)

// tenantShare returns a tenant's share of all requests: a fifth for each of the hot tenants.
func tenantShare(tenant int) float64 {
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

func (t loadTally) missed() float64 { return 1 - float64(t.inTime)/float64(t.asked) }

type loadKey struct {
	isHot bool
	class string
}

// loadRouter is one router with its slots.
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

// simulateLoad runs tenants that share all routers, the hot ones at a multiple of their use, with
// bursts of the patient class. If isFair is unset, requests are served in order of arrival.
// A positive sharesInterval makes routers exchange reports on shares with a leader at that interval.
func simulateLoad(factor float64, isFair bool, sharesInterval time.Duration) map[loadKey]*loadTally {
	random := rand.New(rand.NewPCG(5, 5))
	tallies := make(map[loadKey]*loadTally)
	for _, class := range loadClasses {
		tallies[loadKey{true, class.name}], tallies[loadKey{false, class.name}] = &loadTally{}, &loadTally{}
	}
	routers := make([]loadRouter, loadRouters)
	for i := range routers {
		routers[i].queue, routers[i].free = New[*loadRequest](), make([]time.Time, loadSlots)
		for tenant := range loadTenants {
			if isFair {
				routers[i].queue.SetWeight(fmt.Sprint(tenant), tenantShare(tenant)*loadTenants)
			}
		}
	}
	book := newLoadBook()
	for now := start; now.Before(start.Add(loadTime)); now = now.Add(time.Millisecond) {
		isBurst := now.Sub(start)%(5*time.Second) < time.Second
		for _, class := range loadClasses {
			for tenant := range loadTenants {
				rate := class.perSecond * tenantShare(tenant)
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
		if sharesInterval > 0 && now.Sub(start)%sharesInterval == 0 {
			// Routers get the report before their own work is added, so it is one interval old.
			report := book.Overuse(now)
			for i := range routers {
				routers[i].queue.SetShares(now, report)
				book.Observe(now, fmt.Sprint(i), routers[i].queue.TakeWork())
			}
		}
	}
	return tallies
}

// newLoadBook returns the book of a leader that has led for a minute.
func newLoadBook() *shares.Ledger {
	book := shares.New(start.Add(-time.Minute))
	var listed []site.Tenant
	for tenant := range loadTenants {
		listed = append(listed, site.Tenant{Name: fmt.Sprint(tenant), Limit: site.RateLimit{Rate: tenantShare(tenant)}})
	}
	book.SetTenants(listed)
	return book
}

func newLoadRequest(now time.Time, tenant int, class loadClass, tally *loadTally, isFair bool) *loadRequest {
	tally.asked++
	request := &loadRequest{tally: tally, until: now.Add(time.Duration(float64(class.wait) * waitShare)), ticket: waiting.Ticket{
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

// The two largest of 16 tenants come to six times their use on 80 routers. Tenants within their share
// must not be rejected or delayed by them.
func TestOverloadDoesNotAffectOtherTenants(t *testing.T) {
	c := qt.New(t)
	baseline, before, alone := simulateLoad(1, true, 0), simulateLoad(6, false, 0), simulateLoad(6, true, 0)
	for _, sharesInterval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		after := simulateLoad(6, true, sharesInterval)
		for _, class := range loadClasses {
			for _, isHot := range []bool{false, true} {
				key := loadKey{isHot, class.name}
				t.Logf("reports every %v, hot %v, %s: baseline %+v, first come first served %+v, without reports %+v, with reports %+v",
					sharesInterval, isHot, class.name, *baseline[key], *before[key], *alone[key], *after[key])
			}
			quiet := loadKey{false, class.name}
			t.Logf("%s of the others not in time: baseline %.3f, first come first served %.3f, without reports %.3f, with reports %.3f", class.name,
				baseline[quiet].missed(), before[quiet].missed(), alone[quiet].missed(), after[quiet].missed())
			if sharesInterval >= sharesTTL {
				// Such a report expires before the next one, and the clocks of each router decide in between.
				c.Check(after[quiet].missed() <= alone[quiet].missed(), qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
				continue
			}
			c.Check(after[quiet].refused <= after[quiet].asked/100, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
			// A long request may hold a slot for a second, as there is no preemption.
			c.Check(after[quiet].missed() <= baseline[quiet].missed()+0.06, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *after[quiet]))
		}
	}
}
