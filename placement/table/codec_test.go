package table

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// sampleState returns a state with zones, a removed zone, a row, a tombstone and
// rejected edits.
func sampleState(t testing.TB) *State {
	state := stateWith(3)
	mustApply(t, state, editOf("e1", put(modelRow("m", 4), 0), put(adapterRow("x", "m", 2), 0)))
	mustApply(t, state, editOf("e2", remove("x", 1)), wishOf("a", "m", 3))
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: "c", Remove: true}})
	state.Apply(editOf("e3", put(modelRow("m", 5), 9)))
	state.Apply(editOf("e4", put(modelRow("", 5), 0)))
	return state
}

func sampleCommands() []Command {
	return []Command{
		editOf("e", put(modelRow("m", 4), 0), remove("x", 3)),
		{Edit: &EditCommand{}},
		releaseOf(structs.Grant{Row: "m", Zone: "a", Limit: 1, Sequence: 1 << 40}),
		wishOf("a", "m", 3),
		{Zone: &ZoneCommand{Zone: "a", Remove: true, Force: true}},
		{InForce: &InForceCommand{Zone: "a", Revision: 7}},
	}
}

func TestCommandsRoundTrip(t *testing.T) {
	for _, command := range sampleCommands() {
		data, err := EncodeCommand(command)
		qt.Assert(t, err, qt.IsNil)
		decoded, err := DecodeCommand(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, command)
	}
}

func TestDecodeCommandIsStrict(t *testing.T) {
	encode := func(value any) []byte {
		data, err := msgpack.Marshal(value)
		qt.Assert(t, err, qt.IsNil)
		return data
	}
	whole := encode(Command{InForce: &InForceCommand{Zone: "a", Revision: 7}})
	tests := []struct {
		about string
		data  []byte
		want  string
	}{
		{"empty", nil, ".*cut short.*"},
		{"cut short", whole[:len(whole)-1], ".*cut short.*"},
		{"trailing byte", append(bytes.Clone(whole), 0), ".*after the end.*"},
		{"nothing set", encode(Command{}), ".*exactly one request.*"},
		{"two set", encode(Command{InForce: &InForceCommand{}, Zone: &ZoneCommand{}}), ".*exactly one request.*"},
		{"unknown field", encode(map[string]any{"InForce": map[string]any{"Zone": "a", "Color": 1}}), ".*unknown field.*"},
		{"unknown command", encode(map[string]any{"Format": map[string]any{}}), ".*unknown field.*"},
		{"length beyond data", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, ".*cut short.*"},
		{"nested", bytes.Repeat([]byte{0x91}, 100), ".*too deeply.*"},
		{"unused code", []byte{0xc1}, ".*kind that commands don't use.*"},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			_, err := DecodeCommand(test.data)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorCorrupt)
		})
	}
}

func TestSnapshotKeepsGrantsAndWishes(t *testing.T) {
	state := sampleState(t)
	data, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	for name, row := range state.rows {
		qt.Assert(t, restored.rows[name].grants, qt.CmpEquals(cmp.AllowUnexported(grantState{})), row.grants)
		qt.Assert(t, restored.rows[name].zonesChanged, qt.Equals, row.zonesChanged)
	}
	qt.Assert(t, restored.Zones(), qt.DeepEquals, state.Zones())
	qt.Assert(t, restored.History(0), qt.DeepEquals, state.History(0))
}

func TestCorruptSnapshotLeavesStateUnchanged(t *testing.T) {
	good, err := sampleState(t).Snapshot()
	qt.Assert(t, err, qt.IsNil)
	state := sampleState(t)
	for i := range good {
		damaged := bytes.Clone(good)
		damaged[i] ^= 0x10
		qt.Assert(t, structs.KindOf(state.Restore(damaged)), qt.Equals, structs.ErrorCorrupt)
	}
	for _, data := range [][]byte{nil, good[:len(good)-1], append(bytes.Clone(good), 0)} {
		qt.Assert(t, structs.KindOf(state.Restore(data)), qt.Equals, structs.ErrorCorrupt)
	}
	after, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(after), qt.Equals, string(good))
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range sampleCommands() {
		data, err := EncodeCommand(command)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err != nil {
			return
		}
		state := sampleState(t)
		state.Apply(command)
		qt.Assert(t, state.CheckInvariants(), qt.IsNil)
		again, err := EncodeCommand(command)
		qt.Assert(t, err, qt.IsNil)
		decoded, err := DecodeCommand(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, command)
	})
}

// FuzzRestore feeds the data both to Restore and, bypassing the checksum, to
// restorePlain. A restored state must accept commands.
func FuzzRestore(f *testing.F) {
	var plain bytes.Buffer
	writer := snapshotWriter{encoder: msgpack.NewEncoder(&plain)}
	writer.state(sampleState(f))
	f.Add(plain.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		qt.Assert(t, New().Restore(data), qt.IsNotNil)
		state, err := restorePlain(bytes.NewReader(data))
		if err != nil {
			return
		}
		state.Apply(editOf("fuzz", put(modelRow("fuzz", 3), 0)))
		state.Apply(wishOf("a", "m", 3))
		state.Apply(Command{Zone: &ZoneCommand{Zone: "b", Remove: true, Force: true}})
		state.Delta("a", 1)
		_, err = state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
	})
}
