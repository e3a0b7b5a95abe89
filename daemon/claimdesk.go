package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// batchInterval is the least time between the starts of two log entries. Syncs
	// cost a zone's members most; what arrives meanwhile shares the next entry.
	batchInterval = 25 * time.Millisecond
	// forgetRenewal is when a renewal is no longer remembered; without one a claim
	// has lapsed all the same.
	forgetRenewal = 2 * controller.DefaultClaimLease
)

// claimDesk takes in the claim operations for a zone on its leader. The first one
// is proposed at once; those that arrive within batchInterval of it, or while it is
// being committed, share the next log entry. It also remembers when each request's
// claim was last renewed.
type claimDesk struct {
	own     structs.ZoneID
	zones   []structs.ZoneID
	propose func(context.Context, zone.Command) (zone.Result, error)
	// interval is batchInterval, unless a test sets it.
	interval time.Duration

	mutex    sync.Mutex
	renewed  map[structs.RequestID]time.Time
	waiting  []*claimTicket
	flushing bool
}

// claimTicket is the operations of one call.
type claimTicket struct {
	operations []zone.ClaimOperation
	done       chan claimOutcome
}

type claimOutcome struct {
	results []zone.Result
	err     error
}

func newClaimDesk(own structs.ZoneID, zones []structs.ZoneID, propose func(context.Context, zone.Command) (zone.Result, error)) *claimDesk {
	return &claimDesk{own: own, zones: zones, propose: propose, interval: batchInterval, renewed: map[structs.RequestID]time.Time{}}
}

// renew renews the leases of the requests' claims.
func (d *claimDesk) renew(requests []structs.RequestID, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, request := range requests {
		d.renewed[request] = now
	}
}

// renewals tells when each request's claim was last renewed.
func (d *claimDesk) renewals(now time.Time) map[structs.RequestID]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	maps.DeleteFunc(d.renewed, func(_ structs.RequestID, at time.Time) bool { return now.Sub(at) > forgetRenewal })
	return maps.Clone(d.renewed)
}

// operate carries the operations of one call out and returns a result for each.
func (d *claimDesk) operate(ctx context.Context, command zone.Command) ([]zone.Result, error) {
	if command.ClaimBatch == nil {
		return nil, structs.NewError(structs.ErrorInvalid, "the call has a command that is no batch of claims", "Bring all daemons to the same version.")
	}
	operations := command.ClaimBatch.Operations
	if problem := d.check(operations); problem != nil {
		return nil, problem
	}
	ticket := &claimTicket{operations: operations, done: make(chan claimOutcome, 1)}
	d.enqueue(ticket)
	select {
	case outcome := <-ticket.done:
		return outcome.results, outcome.err
	case <-ctx.Done():
		return nil, structs.NewError(structs.ErrorDeadline, "the claim was not recorded in time and may be later", "Send it again.")
	}
}

// check refuses keys of other zones: with different lists of zones, two zones
// would grant the same key.
func (d *claimDesk) check(operations []zone.ClaimOperation) *structs.Error {
	for _, operation := range operations {
		if operation.Begin == nil {
			continue
		}
		if home := router.HomeOfClaim(d.zones, operation.Begin.Key); home != d.own {
			return structs.NewError(structs.ErrorInvalid,
				"zone "+string(d.own)+" was sent a key whose home is zone "+string(home),
				"Give all daemons the same list of zones.")
		}
	}
	return nil
}

func (d *claimDesk) enqueue(ticket *claimTicket) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.waiting = append(d.waiting, ticket)
	if !d.flushing {
		d.flushing = true
		go d.flush()
	}
}

// flush proposes what waits, one log entry at a time, until nothing does.
func (d *claimDesk) flush() {
	for tickets := d.take(); len(tickets) > 0; tickets = d.take() {
		next := time.NewTimer(d.interval)
		d.proposeTogether(tickets)
		<-next.C
	}
}

// take removes the first waiting tickets that fit in a log entry.
func (d *claimDesk) take() []*claimTicket {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count, operations := 0, 0
	for _, ticket := range d.waiting {
		operations += len(ticket.operations)
		if count > 0 && operations > zone.MaxClaimOperations {
			break
		}
		count++
	}
	tickets := d.waiting[:count:count]
	d.waiting = d.waiting[count:]
	d.flushing = count > 0
	return tickets
}

func (d *claimDesk) proposeTogether(tickets []*claimTicket) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	batch := &zone.ClaimBatchCommand{At: time.Now()}
	for _, ticket := range tickets {
		batch.Operations = append(batch.Operations, ticket.operations...)
	}
	result, err := d.propose(ctx, zone.Command{ClaimBatch: batch})
	if err == nil {
		err = structs.AsError(result.Error)
	}
	rest := result.Batch
	for _, ticket := range tickets {
		outcome := claimOutcome{err: err}
		if err == nil {
			outcome.results = rest[:len(ticket.operations)]
			rest = rest[len(ticket.operations):]
		}
		ticket.done <- outcome
	}
}
