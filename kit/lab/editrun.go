package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// editInterval separates edits under load, sampleInterval samples of a daemon's
	// revision.
	editInterval   = 2 * time.Second
	sampleInterval = 200 * time.Millisecond
	// editAttempt limits one attempt of an edit; a retry carries the same ID.
	editAttempt = 3 * time.Second
	// Edits set weights from lowestWeight, close to the default of 100: other weights
	// affect who waits when memory is short, and runs would not be comparable.
	lowestWeight = 90
	weightRange  = 21
	// methodZoneStatus is the internal RPC method that returns a daemon's zone status.
	methodZoneStatus = "Zone.Status"
)

// editRun edits the weights of rows, retrying each edit until it is answered, and
// samples the revision in force at each daemon. Weights do not affect replica limits, so
// the limits stay known.
type editRun struct {
	fleet     *Fleet
	random    *rand.Rand
	operators *operatorapi.Client
	client    *transport.Client

	mutex   sync.Mutex
	records editRecords
}

func newEditRun(fleet *Fleet, seed uint64) *editRun {
	var operators []string
	run := &editRun{
		fleet:  fleet,
		random: rand.New(rand.NewPCG(seed, 3)),
		client: transport.NewClient(log.NewNopLogger(), transport.Options{}),
	}
	for _, process := range fleet.Daemons {
		operators = append(operators, process.Settings.Listen.Operators)
	}
	for _, zone := range fleet.Site.Zones {
		run.records.zones = append(run.records.zones, zone.ID)
	}
	run.operators = operatorapi.NewClient(operatorapi.ClientOptions{Addresses: operators, AttemptTimeout: editAttempt})
	return run
}

// run makes edits until editing ends and samples daemons until sampling ends.
func (r *editRun) run(editing, sampling context.Context) {
	var samplers sync.WaitGroup
	for _, process := range r.fleet.Daemons {
		samplers.Go(func() { r.sample(sampling, process) })
	}
	for editing.Err() == nil {
		r.edit(editing, sampling)
		pause.For(editing, editInterval)
	}
	samplers.Wait()
}

// edit makes one edit and retries it until sending ends.
func (r *editRun) edit(reading, sending context.Context) {
	view, err := r.operators.Table(reading)
	if err != nil || len(view.Rows) == 0 {
		return
	}
	row := view.Rows[r.random.IntN(len(view.Rows))]
	edit := structs.Edit{
		ID:      structs.EditID(newID(r.random)),
		Author:  "lab",
		Changes: []structs.RowChange{{BaseRevision: row.Revision}},
	}
	row.Weight = lowestWeight + r.random.IntN(weightRange)
	edit.Changes[0].Row = row
	for sending.Err() == nil {
		result, err := r.operators.Apply(sending, edit, false)
		if err != nil {
			pause.For(sending, retryInterval)
			continue
		}
		if result.Accepted {
			r.accept(acceptedEdit{revision: result.Revision, at: time.Now(), row: row})
		}
		return
	}
}

func (r *editRun) accept(edit acceptedEdit) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records.accepted = append(r.records.accepted, edit)
}

// sample records periodically which revision a daemon has in force.
func (r *editRun) sample(ctx context.Context, process *Process) {
	for pause.For(ctx, sampleInterval) {
		startCount := process.starts.Load()
		reply := daemon.ZoneStatusReply{}
		err := r.client.Call(ctx, process.Settings.Listen.Internal, methodZoneStatus, daemon.StatusArguments{}, &reply)
		if err != nil || reply.Error != nil || process.starts.Load() != startCount {
			continue
		}
		r.mutex.Lock()
		r.records.samples = append(r.records.samples, revisionSample{
			zone: process.Zone, daemon: process.ID, startCount: startCount, at: time.Now(), revision: reply.Status.TableRevision,
		})
		r.mutex.Unlock()
	}
}

// settled reports whether all accepted edits were seen in force in each zone.
func (r *editRun) settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	newest := uint64(0)
	for _, edit := range r.records.accepted {
		newest = max(newest, edit.revision)
	}
	for _, zone := range r.records.zones {
		if _, seen := firstInForce(r.records.samplesOf(zone), newest); !seen {
			return false
		}
	}
	return true
}

// awaitSettled waits until the edits are in force in every zone, or the bound has
// passed.
func (r *editRun) awaitSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceBound+editAttempt)
	defer cancel()
	for !r.settled() && pause.For(ctx, sampleInterval) {
	}
}

// finish returns the records with the final table.
func (r *editRun) finish(ctx context.Context, outages []zoneOutage) (editRecords, error) {
	defer r.operators.Close()
	defer r.client.Close()
	view, err := r.operators.Table(ctx)
	r.records.end = view.Rows
	r.records.outages = outages
	return r.records, err
}
