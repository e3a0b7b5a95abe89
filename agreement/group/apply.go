package group

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// commandKind is the first byte of the data of a command entry.
type commandKind byte

const (
	// commandStateMachine carries a command of the state machine.
	commandStateMachine commandKind = iota + 1
	// commandAddress carries the Member with the address of a node to be added.
	commandAddress
)

func encodeCommand(command []byte) []byte {
	data := make([]byte, 0, 1+len(command))
	data = append(data, byte(commandStateMachine))
	return append(data, command...)
}

func encodeAddress(member Member) ([]byte, error) {
	encoded, err := msgpack.Marshal(&member)
	if err != nil {
		return nil, errors.Wrap(err, "encode member address")
	}
	return append([]byte{byte(commandAddress)}, encoded...), nil
}

// apply applies committed entries in index order and replies to their proposers.
func (g *Group) apply(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	results := make([]any, len(entries))
	g.stateMutex.Lock()
	for position, entry := range entries {
		result, err := g.applyEntry(entry)
		if err != nil {
			g.stateMutex.Unlock()
			return err
		}
		results[position] = result
	}
	g.stateMutex.Unlock()
	last := entries[len(entries)-1]
	g.loop.applied = last.Index
	g.loop.appliedTerm = last.Term
	// Publish first: a proposer may read the status as soon as it has its reply.
	g.publish()
	for position, entry := range entries {
		g.answerProposal(entry, results[position])
	}
	return nil
}

// applyEntry applies one entry. The caller must hold stateMutex.
func (g *Group) applyEntry(entry raft.Entry) (any, error) {
	if entry.Kind != raft.EntryCommand {
		return nil, nil
	}
	if len(entry.Data) == 0 {
		return nil, entryError(entry.Index)
	}
	content := entry.Data[1:]
	switch commandKind(entry.Data[0]) {
	case commandStateMachine:
		return g.options.StateMachine.Apply(entry.Index, entry.Term, content), nil
	case commandAddress:
		var member Member
		if err := msgpack.Unmarshal(content, &member); err != nil {
			return nil, entryError(entry.Index)
		}
		g.addresses.replicate(member)
		return nil, nil
	default:
		return nil, entryError(entry.Index)
	}
}

func entryError(index uint64) error {
	return errors.Wrapf(structs.NewError(structs.ErrorCorrupt, "a log entry cannot be decoded",
		"Run the same version of the daemon on all members."), "entry %d", index)
}

// View calls read while no entry is applied. Views run concurrently, so read must not
// modify the state machine. It should be short, because it delays the group.
func (g *Group) View(read func()) {
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	read()
}
