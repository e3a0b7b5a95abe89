package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minHurriedPause and maxHurriedPause bound the pause between edits during a
	// burst.
	minHurriedPause = 20 * time.Millisecond
	maxHurriedPause = 60 * time.Millisecond
	// answerLoss is the share of answers lost on an operator's own machine.
	answerLoss = 0.25
	// answerTimeout is the time until an operator asks again; editAttempts and
	// readAttempts bound the attempts.
	answerTimeout   = 1200 * time.Millisecond
	editAttempts    = 12
	readAttempts    = 6
	maxReplicaLimit = 5
	refusedBackoff  = 100 * time.Millisecond
)

// tableOperator edits the table repeatedly: it reads the rows, sends an edit of one,
// and resends it if no answer arrives.
type tableOperator struct {
	site    *tableSite
	random  *rand.Rand
	number  int
	address Address

	// request numbers the requests, so that late answers are ignored.
	request  uint64
	attempts int
	target   int
	rows     []structs.Row
	// floor is the minimum table revision that the next read must reflect.
	floor    uint64
	edit     structs.Edit
	intent   intentID
	intents  int
	editing  bool
	finished bool
	// asked is when the pending request was last sent; call records the pending
	// edit.
	asked time.Duration
	call  *tableCall
}

func newTableOperator(site *tableSite, random *rand.Rand, number int) *tableOperator {
	zone := site.zones[number%len(site.zones)]
	o := &tableOperator{
		site:    site,
		random:  random,
		number:  number,
		address: Address(fmt.Sprintf("operator-%d", number+1)),
		target:  number,
	}
	site.network.Attach(o.address, zone, o.receive)
	o.scheduleEdit()
	return o
}

// scheduleEdit begins the next edit after a pause.
func (o *tableOperator) scheduleEdit() {
	least, most := o.site.pace.minThinkTime, o.site.pace.maxThinkTime
	if o.site.hurried > 0 {
		least, most = minHurriedPause, maxHurriedPause
	}
	o.site.scheduler.After(between(o.random, least, most), o.begin)
}

func (o *tableOperator) begin() {
	if o.site.quiet {
		o.finished = true
		return
	}
	o.attempts = 0
	// Half of the edits are based on the rows read before, which may be stale.
	isTrusting := o.random.IntN(2) == 0
	if len(o.rows) > 0 && isTrusting {
		o.compose()
		return
	}
	o.editing = false
	o.floor = o.site.ledger.newestAccepted
	o.ask()
}

// ask sends the pending request to one member of the global group.
func (o *tableOperator) ask() {
	limit := readAttempts
	if o.editing {
		limit = editAttempts
	}
	if o.attempts >= limit {
		o.scheduleEdit()
		return
	}
	o.attempts++
	o.request++
	number := o.request
	o.asked = o.site.scheduler.Now()
	to := o.site.globals[o.target%len(o.site.globals)].machine.Address
	if o.editing {
		o.site.network.Send(o.address, to, editRequest{number: number, edit: o.edit})
	} else {
		o.site.network.Send(o.address, to, rowsRequest{number: number})
	}
	o.site.scheduler.After(answerTimeout, func() {
		if o.request == number {
			o.askOtherMember()
		}
	})
}

// askOtherMember resends the pending request to another member.
func (o *tableOperator) askOtherMember() {
	o.target += 1 + o.random.IntN(len(o.site.globals)-1)
	if o.editing {
		o.site.counts.EditsResent++
		if o.site.mutated(mutationNewEditID) {
			o.edit.ID = o.site.nextEditID(o.intent)
		}
	}
	o.ask()
}

func (o *tableOperator) receive(_ Address, message any) {
	switch content := message.(type) {
	case rowsAnswer:
		if content.number == o.request && !o.editing {
			o.site.ledger.tableRead(o.floor, content.revision)
			o.site.history.read(o.number, o.asked, o.site.scheduler.Now(), content)
			o.rows = content.rows
			o.compose()
		}
	case editAnswer:
		if content.number == o.request && o.editing {
			o.handleAnswer(content)
		}
	}
}

func (o *tableOperator) handleAnswer(answer editAnswer) {
	if answer.refuse != nil && answer.refuse.Kind == structs.ErrorNotLeader {
		o.request++
		o.target++
		o.site.scheduler.After(refusedBackoff, o.ask)
		return
	}
	o.request++
	isLost := o.random.Float64() < max(answerLoss, o.site.answerLoss)
	if answer.result != nil && o.attempts < editAttempts && isLost {
		o.site.trace.Note("answer-lost", string(o.address), string(o.edit.ID))
		o.askOtherMember()
		return
	}
	if answer.result != nil {
		o.call.answered(o.site.scheduler.Now(), *answer.result)
	}
	o.scheduleEdit()
}

// compose builds the next edit from the rows that were read and sends it.
func (o *tableOperator) compose() {
	o.intents++
	o.intent = intentID{operator: o.number, number: o.intents}
	name := o.pickRow()
	o.edit = structs.Edit{
		ID:      o.site.nextEditID(o.intent),
		Author:  string(o.address),
		Changes: []structs.RowChange{o.change(name)},
	}
	if o.random.IntN(8) == 0 {
		second := o.pickRow()
		if second != name {
			o.edit.Changes = append(o.edit.Changes, o.change(second))
		}
	}
	o.site.ledger.editComposed(o.intent, o.edit)
	o.call = o.site.history.edit(o.number, o.site.scheduler.Now(), o.edit.Changes)
	o.editing = true
	o.attempts = 0
	o.ask()
}

// pickRow returns a random row, preferably the first, so that operators race for it.
func (o *tableOperator) pickRow() structs.RowName {
	if o.random.IntN(3) == 0 || o.site.racing > 0 {
		return simulatedRows[0]
	}
	return simulatedRows[o.random.IntN(len(simulatedRows))]
}

// change returns a change of one row, in most cases a new limit.
func (o *tableOperator) change(name structs.RowName) structs.RowChange {
	row, found := findRow(o.rows, name)
	change := structs.RowChange{Row: row, BaseRevision: row.Revision}
	if !found {
		change.Row = newSimulatedRow(name)
	}
	change.Row.MaxReplicas = o.random.IntN(maxReplicaLimit + 1)
	change.Row.MinReplicas = min(o.random.IntN(2), change.Row.MaxReplicas)
	change.Row.Weight = 1 + o.random.IntN(100)
	if found && o.random.IntN(6) == 0 {
		change.Delete = true
	}
	return change
}

func findRow(rows []structs.Row, name structs.RowName) (structs.Row, bool) {
	for _, row := range rows {
		if row.Name == name {
			return row, true
		}
	}
	return structs.Row{}, false
}
