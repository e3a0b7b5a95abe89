package simulate

import (
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneMachine is the state machine of a zone's group.
type zoneMachine struct{ state *zone.State }

// zoneOutcome is a zone command with its result.
type zoneOutcome struct {
	command zone.Command
	result  zone.Result
	err     error
}

func newZoneMachine(id structs.ZoneID) *zoneMachine { return &zoneMachine{state: zone.New(id)} }

func (z *zoneMachine) apply(index uint64, data []byte) any {
	command, err := zone.DecodeCommand(data)
	if err != nil {
		return zoneOutcome{err: err}
	}
	return zoneOutcome{command: command, result: z.state.Apply(index, command)}
}

func (z *zoneMachine) snapshot() ([]byte, error) { return z.state.Snapshot() }
func (z *zoneMachine) restore(data []byte) error { return z.state.Restore(data) }

// tableMachine is the state machine of the global group.
type tableMachine struct {
	state *table.State
	// mutate, if set, changes a command before it is applied, equally on each
	// member.
	mutate func(state *table.State, index uint64, command table.Command) table.Command
}

// tableOutcome is a table command with its result.
type tableOutcome struct {
	command table.Command
	result  table.Result
	err     error
}

func newTableMachine() *tableMachine { return &tableMachine{state: table.New()} }

func (t *tableMachine) apply(index uint64, data []byte) any {
	command, err := table.DecodeCommand(data)
	if err != nil {
		return tableOutcome{err: err}
	}
	applied := command
	if t.mutate != nil {
		applied = t.mutate(t.state, index, command)
	}
	return tableOutcome{command: command, result: t.state.Apply(applied)}
}

func (t *tableMachine) snapshot() ([]byte, error) { return t.state.Snapshot() }
func (t *tableMachine) restore(data []byte) error { return t.state.Restore(data) }
