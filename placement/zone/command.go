package zone

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxCommandBytes bounds an encoded command.
const MaxCommandBytes = 32 << 20

// Command is one entry of the zone log. Exactly one field is set.
type Command struct {
	Adopt       *structs.TableDelta
	AdoptPart   *AdoptPartCommand
	Runner      *RunnerCommand
	Reserve     *ReserveCommand
	Transition  *TransitionCommand
	Touch       *TouchCommand
	Remove      *RemoveCommand
	Drain       *DrainCommand
	Prefetch    *PrefetchCommand
	ClaimBegin  *ClaimBeginCommand
	ClaimFinish *ClaimFinishCommand
	ClaimExpire *ClaimExpireCommand
	ClaimBatch  *ClaimBatchCommand
}

// RunnerCommand registers a runner or updates what is known of it.
type RunnerCommand struct {
	Info structs.RunnerInfo
	// Vouch is an operator's word that the incarnation in Info is gone for good:
	// its replicas are forgotten, and the runner is used again only under a
	// higher incarnation. Only Info.ID and Info.Incarnation are read.
	Vouch bool
}

// ReserveCommand records a replica and reserves its memory. The index of the
// command becomes the number of the load order.
type ReserveCommand struct {
	Row         structs.RowName
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
	At          time.Time
}

// TransitionCommand moves a replica on: from loading to ready, or from loading
// or ready to unloading.
type TransitionCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	// Order is the order number of the replica as the proposer saw it.
	Order structs.OrderNumber
	To    structs.ReplicaState
	At    time.Time
}

// TouchCommand gives a loading or unloading replica a new order number, because
// the engine has already accepted a newer order than the current one.
type TouchCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Order  structs.OrderNumber
}

// RemoveCommand forgets a replica and frees its memory, after the engine
// reported it absent and can no longer accept the order that Order names.
type RemoveCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Order  structs.OrderNumber
}

// DrainCommand starts or ends the drain of a runner.
type DrainCommand struct {
	Runner   structs.RunnerID
	Draining bool
}

// PrefetchCommand asks a runner to copy a row's checkpoint to its disk; it takes
// the place of the runner's earlier one. With an empty Row it only ends that.
type PrefetchCommand struct {
	Row         structs.RowName
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
}

// EncodeCommand encodes a command for the log. It refuses a command that does
// not have exactly one field set.
func EncodeCommand(command Command) ([]byte, error) {
	if err := command.check(); err != nil {
		return nil, err
	}
	return encode(command)
}

// DecodeCommand decodes a command of the log. It refuses unknown fields, trailing
// bytes and commands that do not have exactly one field set, with an *Error of
// kind ErrorCorrupt or ErrorInvalid.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if len(data) > MaxCommandBytes {
		return Command{}, structs.NewError(structs.ErrorInvalid, "the zone command is too large",
			"Split the change into smaller ones.")
	}
	if err := decode(data, &command); err != nil {
		return Command{}, err
	}
	if err := command.check(); err != nil {
		return Command{}, err
	}
	return command, nil
}

func (c Command) check() error {
	count := 0
	for _, set := range []bool{
		c.Adopt != nil, c.AdoptPart != nil, c.Runner != nil, c.Reserve != nil, c.Transition != nil,
		c.Touch != nil, c.Remove != nil, c.Drain != nil, c.Prefetch != nil,
		c.ClaimBegin != nil, c.ClaimFinish != nil, c.ClaimExpire != nil,
		c.ClaimBatch != nil,
	} {
		if set {
			count++
		}
	}
	if count == 1 {
		return nil
	}
	return structs.NewError(structs.ErrorInvalid, "a zone command must have exactly one field set",
		"Propose one change a command.")
}

// placesReplicas reports whether the command is about runners or replicas, and not
// about the table or claims alone.
func (c Command) placesReplicas() bool {
	return c.Adopt == nil && c.AdoptPart == nil && c.ClaimBegin == nil && c.ClaimFinish == nil && c.ClaimExpire == nil && c.ClaimBatch == nil
}

func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode zone data")
	}
	return buffer.Bytes(), nil
}

// decode recovers, because the codec panics on some malformed input, such as a
// nil in the place of a time.
func decode(data []byte, value any) (err error) {
	defer func() {
		if problem := recover(); problem != nil {
			err = corrupt(fmt.Sprint("the zone data cannot be decoded: ", problem))
		}
	}()
	if !wellFormed(data) {
		return corrupt("the zone data is malformed or declares more than it holds")
	}
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(value); err != nil {
		return corrupt("the zone data cannot be decoded: " + err.Error())
	}
	if _, err := decoder.Buffered().Read(make([]byte, 1)); err != io.EOF {
		return corrupt("the zone data has trailing bytes")
	}
	return nil
}

func corrupt(message string) *structs.Error {
	return structs.NewError(structs.ErrorCorrupt, message,
		"Restore this member from another member of the zone group.")
}

// normalTime drops the clock reading and the location, which differ by process.
func normalTime(at time.Time) time.Time { return at.Round(0).UTC() }
