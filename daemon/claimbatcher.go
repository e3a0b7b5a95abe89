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
	// batchInterval is the minimum time between two log entries. Operations that arrive
	// in between share the next entry, because log syncs are the main cost of a zone's
	// members.
	batchInterval = 25 * time.Millisecond
	// renewalRetention is how long a renewal is remembered. It exceeds the lease, so a
	// claim without a remembered renewal has expired.
	renewalRetention = 2 * controller.DefaultClaimLease
)

// claimBatcher batches claim operations on a zone's leader. The first operation is
// proposed at once; those that arrive within batchInterval of it, or during its commit,
// share the next log entry. It also remembers when each claim was last renewed.
type claimBatcher struct {
	own     structs.ZoneID
	zones   []structs.ZoneID
	propose func(context.Context, zone.Command) (zone.Result, error)
	// interval is batchInterval, except in tests.
	interval time.Duration

	mutex    sync.Mutex
	renewed  map[structs.RequestID]time.Time
	pending  []*claimSubmission
	flushing bool
}

// claimSubmission holds the operations of one call.
type claimSubmission struct {
	operations []zone.ClaimOperation
	done       chan claimOutcome
}

type claimOutcome struct {
	results []zone.Result
	err     error
}

func newClaimBatcher(own structs.ZoneID, zones []structs.ZoneID, propose func(context.Context, zone.Command) (zone.Result, error)) *claimBatcher {
	return &claimBatcher{own: own, zones: zones, propose: propose, interval: batchInterval, renewed: map[structs.RequestID]time.Time{}}
}

// renew renews the leases of the requests' claims.
func (b *claimBatcher) renew(requests []structs.RequestID, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, request := range requests {
		b.renewed[request] = now
	}
}

// renewals returns the time of the last renewal of each request's claim.
func (b *claimBatcher) renewals(now time.Time) map[structs.RequestID]time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	maps.DeleteFunc(b.renewed, func(_ structs.RequestID, at time.Time) bool { return now.Sub(at) > renewalRetention })
	return maps.Clone(b.renewed)
}

// submit runs the operations of one call and returns one result for each.
func (b *claimBatcher) submit(ctx context.Context, command zone.Command) ([]zone.Result, error) {
	if command.ClaimBatch == nil {
		return nil, structs.NewError(structs.ErrorInvalid, "the command is not a batch of claim operations", "Bring all daemons to the same version.")
	}
	operations := command.ClaimBatch.Operations
	if problem := b.check(operations); problem != nil {
		return nil, problem
	}
	submission := &claimSubmission{operations: operations, done: make(chan claimOutcome, 1)}
	b.enqueue(submission)
	select {
	case outcome := <-submission.done:
		return outcome.results, outcome.err
	case <-ctx.Done():
		return nil, structs.NewError(structs.ErrorDeadline, "the claim was not committed in time; it may still be committed", "Send it again.")
	}
}

// check rejects keys of other zones. With different lists of zones, two zones could
// otherwise grant the same key.
func (b *claimBatcher) check(operations []zone.ClaimOperation) *structs.Error {
	for _, operation := range operations {
		if operation.Begin == nil {
			continue
		}
		if home := router.HomeOfClaim(b.zones, operation.Begin.Key); home != b.own {
			return structs.NewError(structs.ErrorInvalid,
				"zone "+string(b.own)+" was sent a key whose home is zone "+string(home),
				"Give all daemons the same list of zones.")
		}
	}
	return nil
}

func (b *claimBatcher) enqueue(submission *claimSubmission) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pending = append(b.pending, submission)
	if !b.flushing {
		b.flushing = true
		go b.flush()
	}
}

// flush proposes the pending submissions, one log entry at a time, until there are
// none.
func (b *claimBatcher) flush() {
	for submissions := b.take(); len(submissions) > 0; submissions = b.take() {
		next := time.NewTimer(b.interval)
		b.proposeTogether(submissions)
		<-next.C
	}
}

// take removes and returns the oldest submissions that fit into one log entry.
func (b *claimBatcher) take() []*claimSubmission {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count, operations := 0, 0
	for _, submission := range b.pending {
		operations += len(submission.operations)
		if count > 0 && operations > zone.MaxClaimOperations {
			break
		}
		count++
	}
	submissions := b.pending[:count:count]
	b.pending = b.pending[count:]
	b.flushing = count > 0
	return submissions
}

func (b *claimBatcher) proposeTogether(submissions []*claimSubmission) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	batch := &zone.ClaimBatchCommand{At: time.Now()}
	for _, submission := range submissions {
		batch.Operations = append(batch.Operations, submission.operations...)
	}
	result, err := b.propose(ctx, zone.Command{ClaimBatch: batch})
	if err == nil {
		err = structs.AsError(result.Error)
	}
	rest := result.Batch
	for _, submission := range submissions {
		outcome := claimOutcome{err: err}
		if err == nil {
			outcome.results = rest[:len(submission.operations)]
			rest = rest[len(submission.operations):]
		}
		submission.done <- outcome
	}
}
