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
	// racingOperators edit the same row as they all saw it.
	racingOperators = 3
	// raceRounds is how many races or lost answers one fault has.
	raceRounds = 5
	// answerLostAfter is when an operator's connection is cut after sending an edit.
	answerLostAfter = 5 * time.Millisecond
	// passingEdits is how many edits a daemon misses while it is down, and
	// passingLimit bounds the time they take.
	passingEdits = 300
	passingLimit = 20 * time.Second
	// catchUpLimit is how long after its start a daemon may lack the edits that it
	// missed: its start, and the time in which edits are in force.
	catchUpLimit = outageMargin + inForceBound
)

// sentEdit is one sending of an edit and its answer.
type sentEdit struct {
	edit   structs.Edit
	result structs.EditResult
}

// editFaults are the records of races and resends, kept by the kit.
type editFaults struct {
	races   [][]sentEdit
	resends [][]sentEdit
	// behind names the daemons that did not catch up in time.
	behind []string
}

// checkEditFaults: of edits against the same revision of a row at most one wins, an
// edit that is sent again gets its first answer, and a daemon that was down catches up.
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

// operatorOf returns a client of one daemon's operators' address alone.
func operatorOf(process *Process) *operatorapi.Client {
	return operatorapi.NewClient(operatorapi.ClientOptions{Addresses: []string{process.Settings.Listen.Operators}, AttemptTimeout: editAttempt})
}

// newEdit makes an edit of any row's weight, against the row as the table shows it.
func (r *faultRun) newEdit(ctx context.Context) (structs.Edit, bool) {
	view, err := r.edits.operators.Table(ctx)
	if err != nil || len(view.Rows) == 0 {
		return structs.Edit{}, false
	}
	row := view.Rows[r.random.IntN(len(view.Rows))]
	return r.weighed(row), true
}

// weighed makes an edit that gives the row another weight.
func (r *faultRun) weighed(row structs.Row) structs.Edit {
	base := row.Revision
	row.Weight = lowestWeight + r.random.IntN(weightRange)
	return structs.Edit{
		ID:      structs.EditID(newID(r.random)),
		Author:  "lab",
		Changes: []structs.RowChange{{Row: row, BaseRevision: base}},
	}
}

// send sends an edit until it is answered or ctx ends, and notes it once accepted.
func (r *faultRun) send(ctx context.Context, operator *operatorapi.Client, edit structs.Edit) (sentEdit, bool) {
	for ctx.Err() == nil {
		result, err := operator.Apply(ctx, edit, false)
		if err == nil {
			return sentEdit{edit, result}, true
		}
		pause.For(ctx, retryWait)
	}
	return sentEdit{}, false
}

// note records an accepted edit with those of the run.
func (r *faultRun) note(sent sentEdit) {
	if sent.result.Accepted {
		r.edits.accept(acceptedEdit{revision: sent.result.Revision, at: time.Now(), row: sent.edit.Changes[0].Row})
	}
}

// raceEdits lets operators send edits against the same revision at once, each to
// another daemon.
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
			edit, operator := r.weighed(row), operatorOf(r.anyDaemon())
			operators.Go(func() {
				defer operator.Close()
				answers[i], _ = r.send(r.sending, operator, edit)
			})
		}
		operators.Wait()
		for _, sent := range answers {
			r.note(sent)
		}
		r.editFaults.races = append(r.editFaults.races, answers)
	}
	return fmt.Sprintf("%d operators, %d times", racingOperators, raceRounds)
}

// loseAnswers cuts operators off right after they sent an edit; they send it again to
// another daemon, and once more after its answer.
func (r *faultRun) loseAnswers(ctx context.Context) string {
	for range raceRounds {
		edit, ok := r.newEdit(ctx)
		if !ok {
			continue
		}
		r.sendAndLose(edit)
		var sendings []sentEdit
		for range 2 {
			operator := operatorOf(r.anyDaemon())
			if sent, answered := r.send(r.sending, operator, edit); answered {
				sendings = append(sendings, sent)
			}
			operator.Close()
		}
		if len(sendings) > 0 {
			r.note(sendings[0])
			r.editFaults.resends = append(r.editFaults.resends, sendings)
		}
	}
	return fmt.Sprintf("%d edits", raceRounds)
}

// sendAndLose sends an edit whose answer nobody waits for.
func (r *faultRun) sendAndLose(edit structs.Edit) {
	ctx, cancel := context.WithTimeout(r.sending, answerLostAfter)
	defer cancel()
	operator := operatorOf(r.anyDaemon())
	defer operator.Close()
	// The answer is lost on purpose.
	_, _ = operator.Apply(ctx, edit, false)
}

// passEdits lets hundreds of edits pass a daemon that is down, and checks that it
// catches up once it is back.
func (r *faultRun) passEdits(ctx context.Context) string {
	target := r.anyDaemon()
	from := time.Now()
	target.Kill()
	limited, cancel := context.WithTimeout(ctx, passingLimit)
	defer cancel()
	passed, newest := 0, uint64(0)
	for passed < passingEdits && limited.Err() == nil {
		edit, ok := r.newEdit(limited)
		if !ok {
			continue
		}
		sent, answered := r.send(r.sending, r.edits.operators, edit)
		r.note(sent)
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
	ctx, cancel := context.WithTimeout(r.sending, catchUpLimit)
	defer cancel()
	reply := daemon.ZoneStatusReply{}
	for pause.For(ctx, pollPause) {
		reply = daemon.ZoneStatusReply{}
		err := r.client.Call(ctx, target.Settings.Listen.Internal, methodZoneStatus, daemon.StatusArguments{}, &reply)
		if err == nil && reply.Status.TableRevision >= revision {
			return
		}
	}
	if r.sending.Err() == nil {
		r.editFaults.behind = append(r.editFaults.behind, fmt.Sprintf("%s has revision %d of %d in force %v after its restart",
			target.ID, reply.Status.TableRevision, revision, catchUpLimit))
	}
}
