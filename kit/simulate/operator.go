package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// hurriedLeast and hurriedMost bound the pause of an operator in a hurry.
	hurriedLeast = 20 * time.Millisecond
	hurriedMost  = 60 * time.Millisecond
	// answerLoss is the share of answers that are lost on an operator's own machine.
	answerLoss = 0.25
	// answerTimeout is when an operator asks again; attempts bounds how often.
	answerTimeout  = 1200 * time.Millisecond
	editAttempts   = 12
	readAttempts   = 6
	mostReplicas   = 5
	refusedBackoff = 100 * time.Millisecond
)

// tableOperator edits the table again and again: it reads the rows, changes one
// and sends the edit, and resends it when the answer does not come.
type tableOperator struct {
	site    *tableSite
	random  *rand.Rand
	number  int
	address Address

	// request numbers the questions, so that late answers are told apart.
	request  uint64
	attempts int
	target   int
	rows     []structs.Row
	// floor is the table revision that the next read must show at least.
	floor    uint64
	edit     structs.Edit
	intent   intentID
	intents  int
	editing  bool
	finished bool
	// asked is when the open question was last sent; call records the open edit.
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
	o.think()
	return o
}

// think waits and then begins the next edit.
func (o *tableOperator) think() {
	least, most := o.site.pace.thinkLeast, o.site.pace.thinkMost
	if o.site.hurried > 0 {
		least, most = hurriedLeast, hurriedMost
	}
	o.site.scheduler.After(between(o.random, least, most), o.begin)
}

func (o *tableOperator) begin() {
	if o.site.quiet {
		o.finished = true
		return
	}
	o.attempts = 0
	// Half of the time the operator trusts the rows that are already on the screen.
	isTrusting := o.random.IntN(2) == 0
	if len(o.rows) > 0 && isTrusting {
		o.compose()
		return
	}
	o.editing = false
	o.floor = o.site.ledger.newestAccepted
	o.ask()
}

// ask sends the question that is open, to one member of the global group.
func (o *tableOperator) ask() {
	limit := readAttempts
	if o.editing {
		limit = editAttempts
	}
	if o.attempts >= limit {
		o.think()
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
			o.askAnother()
		}
	})
}

// askAnother turns to another member with the same question.
func (o *tableOperator) askAnother() {
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
			o.takeAnswer(content)
		}
	}
}

func (o *tableOperator) takeAnswer(answer editAnswer) {
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
		o.askAnother()
		return
	}
	if answer.result != nil {
		o.call.answered(o.site.scheduler.Now(), *answer.result)
	}
	o.think()
}

// compose makes the next edit from the rows that were read.
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

// pickRow prefers the first row, so that operators race for it.
func (o *tableOperator) pickRow() structs.RowName {
	if o.random.IntN(3) == 0 || o.site.racing > 0 {
		return simulatedRows[0]
	}
	return simulatedRows[o.random.IntN(len(simulatedRows))]
}

// change makes a change of one row: a new limit most of the time.
func (o *tableOperator) change(name structs.RowName) structs.RowChange {
	row, found := findRow(o.rows, name)
	change := structs.RowChange{Row: row, BaseRevision: row.Revision}
	if !found {
		change.Row = newSimulatedRow(name)
	}
	change.Row.MaxReplicas = o.random.IntN(mostReplicas + 1)
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
