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

// MaxCommandBytes is the maximum size of an encoded command.
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

// RunnerCommand registers or updates a runner.
type RunnerCommand struct {
	Info structs.RunnerInfo
	// Vouch means that an operator confirmed that the incarnation in Info has
	// permanently stopped: its replicas are removed, and the runner is used again
	// only under a higher incarnation. Only Info.ID and Info.Incarnation are read.
	Vouch bool
}

// ReserveCommand adds a replica and reserves its memory. The log index of the
// command becomes the order number of the load.
type ReserveCommand struct {
	Row         structs.RowName
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
	At          time.Time
}

// TransitionCommand changes the state of a replica from loading to ready, or from
// loading or ready to unloading.
type TransitionCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	// Order is the replica's order number as seen by the proposer.
	Order structs.OrderNumber
	To    structs.ReplicaState
	At    time.Time
}

// TouchCommand gives a loading or unloading replica a new order number. It is used
// if the engine has already accepted a newer order than the current one.
type TouchCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Order  structs.OrderNumber
}

// RemoveCommand removes a replica and frees its memory, after the engine has
// reported it absent and can no longer accept the order named by Order.
type RemoveCommand struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Order  structs.OrderNumber
}

// DrainCommand starts or stops draining a runner.
type DrainCommand struct {
	Runner   structs.RunnerID
	Draining bool
}

// PrefetchCommand asks a runner to copy a row's checkpoint to its disk, replacing the
// runner's earlier prefetch. An empty Row only cancels the earlier one.
type PrefetchCommand struct {
	Row         structs.RowName
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
}

// EncodeCommand encodes a command for the log. It returns an error unless exactly
// one field is set.
func EncodeCommand(command Command) ([]byte, error) {
	if err := command.check(); err != nil {
		return nil, err
	}
	return encode(command)
}

// DecodeCommand decodes a command from the log. Unknown fields, trailing bytes and
// commands without exactly one field set are errors of kind ErrorCorrupt or
// ErrorInvalid.
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
		"Propose one change per command.")
}

// changesPlacement reports whether the command may change runners or replicas.
func (c Command) changesPlacement() bool {
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

// decode decodes one msgpack value. It recovers from panics, because the codec
// panics on some malformed input, such as nil in place of a time.
func decode(data []byte, value any) (err error) {
	defer func() {
		if problem := recover(); problem != nil {
			err = corrupt(fmt.Sprint("the zone data cannot be decoded: ", problem))
		}
	}()
	if !wellFormed(data) {
		return corrupt("the zone data is malformed or has lengths beyond its end")
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

// normalTime strips the monotonic clock reading and the location, which differ
// between processes.
func normalTime(at time.Time) time.Time { return at.Round(0).UTC() }
