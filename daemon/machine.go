package daemon

import (
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// tableMachine is the global group's state machine: table.State behind
// group.StateMachine. The group serialises all access.
type tableMachine struct {
	state   *table.State
	changed notifier
}

func newTableMachine() *tableMachine { return &tableMachine{state: table.New()} }

// Apply implements group.StateMachine; the result is a table.Result.
func (m *tableMachine) Apply(_, _ uint64, encoded []byte) any {
	command, err := table.DecodeCommand(encoded)
	if err != nil {
		return table.Result{Error: structs.AsTyped(err)}
	}
	defer m.changed.broadcast()
	return m.state.Apply(command)
}

// Snapshot implements group.StateMachine.
func (m *tableMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements group.StateMachine.
func (m *tableMachine) Restore(data []byte) error {
	defer m.changed.broadcast()
	return m.state.Restore(data)
}

// zoneMachine is a zone group's state machine: zone.State behind group.StateMachine.
type zoneMachine struct {
	state   *zone.State
	changed notifier
}

func newZoneMachine(id structs.ZoneID) *zoneMachine { return &zoneMachine{state: zone.New(id)} }

// Apply implements group.StateMachine; the result is a zone.Result.
func (m *zoneMachine) Apply(index, _ uint64, encoded []byte) any {
	command, err := zone.DecodeCommand(encoded)
	if err != nil {
		return zone.Result{Error: structs.AsTyped(err)}
	}
	defer m.changed.broadcast()
	return m.state.Apply(index, command)
}

// Snapshot implements group.StateMachine.
func (m *zoneMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements group.StateMachine.
func (m *zoneMachine) Restore(data []byte) error {
	defer m.changed.broadcast()
	return m.state.Restore(data)
}
