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
	// editPause separates two edits under load, sightPause two looks at a daemon.
	editPause  = 2 * time.Second
	sightPause = 200 * time.Millisecond
	// editAttempt bounds one try of an edit; a resend carries the same ID.
	editAttempt = 3 * time.Second
	// Edits set weights from lowestWeight on, near the sites' own: far ones decide who
	// waits where memory is short, and runs could not be compared.
	lowestWeight = 90
	weightRange  = 21
	// methodZoneStatus is the daemons' own method that tells what a member of a zone has in force.
	methodZoneStatus = "Zone.Status"
)

// editRun edits rows' weights one after another, as an operator does who sends an
// edit again until it is answered, and looks at what each daemon has in force.
// Weights decide no limit, so that the limits of the run stay known.
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

// run edits until editing ends and looks until looking ends.
func (r *editRun) run(editing, looking context.Context) {
	var looks sync.WaitGroup
	for _, process := range r.fleet.Daemons {
		looks.Go(func() { r.look(looking, process) })
	}
	for editing.Err() == nil {
		r.edit(editing, looking)
		pause.For(editing, editPause)
	}
	looks.Wait()
}

// edit makes one edit; once sent, it is sent again until sending ends.
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
			pause.For(sending, retryWait)
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

// look notes again and again what a daemon has in force.
func (r *editRun) look(ctx context.Context, process *Process) {
	for pause.For(ctx, sightPause) {
		life := process.starts.Load()
		reply := daemon.ZoneStatusReply{}
		err := r.client.Call(ctx, process.Settings.Listen.Internal, methodZoneStatus, daemon.StatusArguments{}, &reply)
		if err != nil || reply.Error != nil || process.starts.Load() != life {
			continue
		}
		r.mutex.Lock()
		r.records.sights = append(r.records.sights, zoneSight{
			zone: process.Zone, daemon: process.ID, life: life, at: time.Now(), revision: reply.Status.TableRevision,
		})
		r.mutex.Unlock()
	}
}

// settled reports whether each zone was seen with all accepted edits in force.
func (r *editRun) settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	newest := uint64(0)
	for _, edit := range r.records.accepted {
		newest = max(newest, edit.revision)
	}
	for _, zone := range r.records.zones {
		if _, seen := firstInForce(r.records.sightsOf(zone), newest); !seen {
			return false
		}
	}
	return true
}

// awaitSettled waits until the edits are in force everywhere, or must have been.
func (r *editRun) awaitSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceBound+editAttempt)
	defer cancel()
	for !r.settled() && pause.For(ctx, sightPause) {
	}
}

// finish returns the records, with the table as it is now.
func (r *editRun) finish(ctx context.Context, outages []zoneOutage) (editRecords, error) {
	defer r.operators.Close()
	defer r.client.Close()
	view, err := r.operators.Table(ctx)
	r.records.end = view.Rows
	r.records.outages = outages
	return r.records, err
}
