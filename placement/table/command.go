package table

import (
	"bytes"
	"time"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// Command is one entry of the global group's log. Exactly one field is set.
type Command struct {
	Edit    *EditCommand
	Release *structs.GrantRelease
	Wish    *WishCommand
	Zone    *ZoneCommand
	InForce *InForceCommand
}

// EditCommand applies an operator's edit.
type EditCommand struct {
	Edit structs.Edit
	// At is the leader's clock, recorded in the history.
	At time.Time
}

// WishCommand replaces a zone's wishes, the numbers of replicas it wants, for the
// named rows. Rows that are not in the table are ignored.
type WishCommand struct {
	Zone   structs.ZoneID
	Wishes []structs.GrantWish
}

// ZoneCommand adds a zone, sets its weight, or removes it.
type ZoneCommand struct {
	Zone structs.ZoneID
	// Weight is the zone's relative share of limits that no zone wishes for, from 1
	// to MaxZoneWeight.
	Weight int
	// Remove sets the zone's limits to zero. Replicas that it holds are counted until
	// it releases them.
	Remove bool
	// Force, with Remove, means that an operator confirmed that the zone's runners
	// are off: the replicas that the zone holds are freed at once.
	Force bool
}

// InForceCommand records that a zone adopted a table revision. It never lowers
// the recorded revision.
type InForceCommand struct {
	Zone     structs.ZoneID
	Revision uint64
}

// Result is the result of a Command. Edit is set for every edit that was checked,
// accepted or not. Error is set if the command itself was rejected. Both are nil for
// other commands that succeeded, with or without effect.
type Result struct {
	Edit  *structs.EditResult
	Error *structs.Error
}

// EncodeCommand encodes a command with msgpack. It returns ErrorInvalid unless exactly
// one field is set.
func EncodeCommand(command Command) ([]byte, error) {
	if rejection := command.check(); rejection != nil {
		return nil, rejection
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&command); err != nil {
		return nil, structs.NewError(structs.ErrorInternal, "encoding a table command: "+err.Error(), "Report this as a fault.")
	}
	return buffer.Bytes(), nil
}

// DecodeCommand decodes the output of EncodeCommand. It returns ErrorCorrupt for
// unknown fields, lengths beyond the data, trailing bytes, and commands without
// exactly one field set. It never panics.
func DecodeCommand(data []byte) (Command, error) {
	if err := checkWellFormed(data); err != nil {
		return Command{}, corruptCommand(err.Error())
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields(true)
	var command Command
	if err := decoder.Decode(&command); err != nil {
		return Command{}, corruptCommand(err.Error())
	}
	if rejection := command.check(); rejection != nil {
		return Command{}, corruptCommand(rejection.Message)
	}
	if command.Edit != nil {
		command.Edit.At = command.Edit.At.UTC()
	}
	return command, nil
}

func corruptCommand(reason string) *structs.Error {
	return structs.NewError(structs.ErrorCorrupt, "table command cannot be decoded: "+reason,
		"Check that all members of the global group run the same version.")
}

// check returns ErrorInvalid unless exactly one field is set.
func (c Command) check() *structs.Error {
	count := 0
	for _, set := range []bool{c.Edit != nil, c.Release != nil, c.Wish != nil, c.Zone != nil, c.InForce != nil} {
		if set {
			count++
		}
	}
	if count == 1 {
		return nil
	}
	return structs.NewError(structs.ErrorInvalid, "a table command must hold exactly one request",
		"Send one command for each request.")
}
