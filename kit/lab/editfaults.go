package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// racingOperators is the number of operators that edit the same revision of a row
	// concurrently.
	racingOperators = 3
	// raceRounds is the number of repetitions of an edit fault.
	raceRounds = 5
	// editResponseCutoff is the time after which an operator is disconnected from an
	// edit in progress.
	editResponseCutoff = 5 * time.Millisecond
	// missedEdits is the number of edits accepted while a daemon is down, and
	// missedEditsTimeout limits the time they take.
	missedEdits        = 300
	missedEditsTimeout = 20 * time.Second
	// catchUpTimeout is the time within which a restarted daemon must apply the missed
	// edits: its start and the bound for edits to be in force.
	catchUpTimeout = outageMargin + inForceBound
)

// sentEdit is a sent edit and its result.
type sentEdit struct {
	edit   structs.Edit
	result structs.EditResult
}

// editFaults records the concurrent and the resent edits.
type editFaults struct {
	races   [][]sentEdit
	resends [][]sentEdit
	// behind describes the daemons that did not catch up in time.
	behind []string
}

// checkEditFaults checks that at most one edit against a revision of a row is accepted,
// that a resent edit gets the original result, and that a restarted daemon catches up.
func checkEditFaults(records editFaults) []Violation {
	var violations []Violation
	for _, race := range records.races {
		won := 0
		for _, sent := range race {
			if sent.result.Accepted {
				won++
			}
		}
		if won > 1 {
			violations = append(violations, Violation{"one_winner", fmt.Sprintf("%d edits against revision %d of row %s were accepted",
				won, race[0].edit.Changes[0].BaseRevision, race[0].edit.Changes[0].Row.Name)})
		}
	}
	for _, sendings := range records.resends {
		for _, sent := range sendings[1:] {
			first := sendings[0].result
			if sent.result.Accepted != first.Accepted || sent.result.Revision != first.Revision {
				violations = append(violations, Violation{"resend", fmt.Sprintf("edit %s was answered with revision %d (accepted %v), and then %d (accepted %v)",
					sent.edit.ID, first.Revision, first.Accepted, sent.result.Revision, sent.result.Accepted)})
			}
		}
	}
	for _, problem := range records.behind {
		violations = append(violations, Violation{"in_force", problem})
	}
	return violations
}

// operatorOf returns an operator client of a single daemon.
func operatorOf(process *Process) *operatorapi.Client {
	return operatorapi.NewClient(operatorapi.ClientOptions{Addresses: []string{process.Settings.Listen.Operators}, AttemptTimeout: editAttempt})
}

// newEdit returns an edit of a random row's weight, based on the current table.
func (r *faultRun) newEdit(ctx context.Context) (structs.Edit, bool) {
	view, err := r.edits.operators.Table(ctx)
	if err != nil || len(view.Rows) == 0 {
		return structs.Edit{}, false
	}
	row := view.Rows[r.random.IntN(len(view.Rows))]
	return r.weightEdit(row), true
}

// weightEdit returns an edit that sets a random weight for the row.
func (r *faultRun) weightEdit(row structs.Row) structs.Edit {
	base := row.Revision
	row.Weight = lowestWeight + r.random.IntN(weightRange)
	return structs.Edit{
		ID:      structs.EditID(newID(r.random)),
		Author:  "lab",
		Changes: []structs.RowChange{{Row: row, BaseRevision: base}},
	}
}

// send sends an edit until it is answered or ctx ends.
func (r *faultRun) send(ctx context.Context, operator *operatorapi.Client, edit structs.Edit) (sentEdit, bool) {
	for ctx.Err() == nil {
		result, err := operator.Apply(ctx, edit, false)
		if err == nil {
			return sentEdit{edit, result}, true
		}
		pause.For(ctx, retryInterval)
	}
	return sentEdit{}, false
}

// recordAccepted records an edit that was accepted.
func (r *faultRun) recordAccepted(sent sentEdit) {
	if sent.result.Accepted {
		r.edits.accept(acceptedEdit{revision: sent.result.Revision, at: time.Now(), row: sent.edit.Changes[0].Row})
	}
}

// raceEdits sends concurrent edits against the same revision to random daemons.
func (r *faultRun) raceEdits(ctx context.Context) string {
	for range raceRounds {
		first, ok := r.newEdit(ctx)
		if !ok {
			continue
		}
		row := first.Changes[0].Row
		row.Revision = first.Changes[0].BaseRevision
		answers := make([]sentEdit, racingOperators)
		var operators sync.WaitGroup
		for i := range answers {
			edit, operator := r.weightEdit(row), operatorOf(r.anyDaemon())
			operators.Go(func() {
				defer operator.Close()
				answers[i], _ = r.send(r.sending, operator, edit)
			})
		}
		operators.Wait()
		for _, sent := range answers {
			r.recordAccepted(sent)
		}
		r.editFaults.races = append(r.editFaults.races, answers)
	}
	return fmt.Sprintf("%d operators, %d times", racingOperators, raceRounds)
}

// loseEditResponses disconnects from an edit in progress and then sends the edit twice
// more.
func (r *faultRun) loseEditResponses(ctx context.Context) string {
	for range raceRounds {
		edit, ok := r.newEdit(ctx)
		if !ok {
			continue
		}
		r.sendAndDisconnect(edit)
		var sendings []sentEdit
		for range 2 {
			operator := operatorOf(r.anyDaemon())
			if sent, answered := r.send(r.sending, operator, edit); answered {
				sendings = append(sendings, sent)
			}
			operator.Close()
		}
		if len(sendings) > 0 {
			r.recordAccepted(sendings[0])
			r.editFaults.resends = append(r.editFaults.resends, sendings)
		}
	}
	return fmt.Sprintf("%d edits", raceRounds)
}

// sendAndDisconnect sends an edit and disconnects before the response.
func (r *faultRun) sendAndDisconnect(edit structs.Edit) {
	ctx, cancel := context.WithTimeout(r.sending, editResponseCutoff)
	defer cancel()
	operator := operatorOf(r.anyDaemon())
	defer operator.Close()
	// The result is ignored because the response is meant to be lost.
	_, _ = operator.Apply(ctx, edit, false)
}

// editDuringOutage makes edits while a daemon is down and checks that the daemon catches
// up after its restart.
func (r *faultRun) editDuringOutage(ctx context.Context) string {
	target := r.anyDaemon()
	from := time.Now()
	target.Kill()
	limited, cancel := context.WithTimeout(ctx, missedEditsTimeout)
	defer cancel()
	passed, newest := 0, uint64(0)
	for passed < missedEdits && limited.Err() == nil {
		edit, ok := r.newEdit(limited)
		if !ok {
			continue
		}
		sent, answered := r.send(r.sending, r.edits.operators, edit)
		r.recordAccepted(sent)
		if answered && sent.result.Accepted {
			newest = sent.result.Revision
			passed++
		}
	}
	name := r.restart(target)
	r.addOutage(target.ID, from)
	r.awaitCaughtUp(target, newest)
	return fmt.Sprintf("%s, after %d edits", name, passed)
}

// awaitCaughtUp waits until the daemon has the revision in force.
func (r *faultRun) awaitCaughtUp(target *Process, revision uint64) {
	ctx, cancel := context.WithTimeout(r.sending, catchUpTimeout)
	defer cancel()
	reply := daemon.ZoneStatusReply{}
	for pause.For(ctx, pollInterval) {
		reply = daemon.ZoneStatusReply{}
		err := r.client.Call(ctx, target.Settings.Listen.Internal, methodZoneStatus, daemon.StatusArguments{}, &reply)
		if err == nil && reply.Status.TableRevision >= revision {
			return
		}
	}
	if r.sending.Err() == nil {
		r.editFaults.behind = append(r.editFaults.behind, fmt.Sprintf("%s has revision %d of %d in force %v after its restart",
			target.ID, reply.Status.TableRevision, revision, catchUpTimeout))
	}
}
