package zone

import (
	"flag"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
	"pgregory.net/rapid"
)

var (
	drawRow    = rapid.SampledFrom([]structs.RowName{"model", "big", "tuned", "none"})
	drawRunner = rapid.SampledFrom([]structs.RunnerID{"a", "b"})
	drawState  = rapid.SampledFrom([]structs.ReplicaState{structs.ReplicaReady, structs.ReplicaUnloading})
)

// randomMachine applies random commands to a state and, after encoding and decoding
// them, to a second state that is sometimes restored from a snapshot.
type randomMachine struct {
	*testMachine
	restored *State
}

func (m *randomMachine) apply(t *rapid.T, command Command) Result {
	data, err := EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	result := m.do(command)
	twin := m.restored.Apply(m.next, decoded)
	equal(t, twin, result)
	return result
}

func equal(t *rapid.T, got, want any) {
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// order draws the current order number of a replica, or sometimes a stale one.
func (m *randomMachine) order(t *rapid.T, runner structs.RunnerID, row structs.RowName) structs.OrderNumber {
	replica, _ := m.Replica(runner, row)
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		return replica.Order - 1
	}
	return replica.Order
}

func (m *randomMachine) adopt(t *rapid.T) {
	row := drawRow.Draw(t, "row")
	held := max(m.CountOf(row), rapid.IntRange(0, 2).Draw(t, "held"))
	delta := &structs.TableDelta{
		SinceRevision: m.TableRevision() - uint64(rapid.IntRange(0, 1).Draw(t, "behind")),
		Revision:      m.TableRevision() + uint64(rapid.IntRange(0, 2).Draw(t, "ahead")),
		Grants:        []structs.Grant{testGrant(row, rapid.IntRange(0, held).Draw(t, "limit"), held)},
	}
	m.apply(t, Command{Adopt: delta})
}

func (m *randomMachine) register(t *rapid.T) {
	id := drawRunner.Draw(t, "runner")
	known, _ := m.Runner(id)
	info := testRunner(id, known.Incarnation+structs.Incarnation(rapid.IntRange(0, 6).Draw(t, "restart")/6))
	info.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	info.MemoryBytes = int64(rapid.IntRange(50, 130).Draw(t, "memory"))
	vouch := rapid.IntRange(0, 9).Draw(t, "vouch") == 0
	m.apply(t, Command{Runner: &RunnerCommand{Info: info, Vouch: vouch}})
}

func (m *randomMachine) change(t *rapid.T) {
	row, runner := drawRow.Draw(t, "row"), drawRunner.Draw(t, "runner")
	order := m.order(t, runner, row)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0, 1:
		m.apply(t, transition(row, runner, order, drawState.Draw(t, "to")))
	case 2:
		m.apply(t, remove(row, runner, order))
	default:
		m.apply(t, Command{Touch: &TouchCommand{row, runner, order}})
	}
}

func (m *randomMachine) claim(t *rapid.T) {
	request := rapid.SampledFrom([]structs.RequestID{"r1", "r2"}).Draw(t, "request")
	attempt := uint64(rapid.IntRange(0, 3).Draw(t, "attempt"))
	end := rapid.SampledFrom([]structs.ClaimState{structs.ClaimFinished, structs.ClaimUnknown}).Draw(t, "end")
	before, held := m.Claim("k")
	result := m.apply(t, []Command{
		begin(request, "d", attempt, drawRunner.Draw(t, "runner")),
		begin(request, "d", 0, ""),
		finish(request, end, map[structs.ClaimState]string{structs.ClaimFinished: "done"}[end]),
		{ClaimExpire: &ClaimExpireCommand{Now: testTime.Add(2 * time.Hour)}},
	}[rapid.IntRange(0, 3).Draw(t, "kind")])
	if after, _ := m.Claim("k"); held && before.State == structs.ClaimUnknown {
		equal(t, after, before)
	}
	if result.ClaimNew && held && before.Request != request {
		t.Fatalf("request %s runs while %s holds the key", request, before.Request)
	}
}

func TestRandomCommandsPreserveInvariants(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "20260504"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		m := &randomMachine{testMachine: newTestMachine(), restored: New("z")}
		restore := func(t *rapid.T) {
			data, err := m.Snapshot()
			equal(t, err, nil)
			equal(t, m.restored.Restore(data), nil)
		}
		restore(t)
		router := &testRouter{}
		records := &recordsChecker{}
		t.Repeat(map[string]func(*rapid.T){
			"adopt":    m.adopt,
			"register": m.register,
			"change":   m.change,
			"claim":    m.claim,
			"restore":  restore,
			"follow":   func(t *rapid.T) { m.pollView(t, router) },
			"reserve": func(t *rapid.T) {
				runner := drawRunner.Draw(t, "runner")
				known, _ := m.Runner(runner)
				m.apply(t, reserve(drawRow.Draw(t, "row"), runner, known.Incarnation))
			},
			"prefetch": func(t *rapid.T) {
				runner := drawRunner.Draw(t, "runner")
				known, _ := m.Runner(runner)
				row := rapid.SampledFrom([]structs.RowName{"", drawRow.Draw(t, "row")}).Draw(t, "prefetched")
				m.apply(t, Command{Prefetch: &PrefetchCommand{Row: row, Runner: runner, Incarnation: known.Incarnation}})
			},
			"": func(t *rapid.T) {
				records.check(t, m.State)
				equal(t, m.CheckInvariants(), nil)
				own, err := encode(m.snapshotData())
				equal(t, err, nil)
				twin, err := encode(m.restored.snapshotData())
				equal(t, err, nil)
				equal(t, string(twin), string(own))
			},
		})
	})
}

func TestRestoreRejectsCorruptSnapshots(t *testing.T) {
	c := qt.New(t)
	m := newTestMachine()
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1
		c.Assert(structs.KindOf(New("z").Restore(damaged)), qt.Equals, structs.ErrorCorrupt)
	}
	c.Assert(structs.KindOf(New("other").Restore(data)), qt.Equals, structs.ErrorCorrupt)
	c.Assert(New("z").Restore(data), qt.IsNil)
}

func TestDecodeCommandIsStrict(t *testing.T) {
	good, err := EncodeCommand(reserve("model", "a", 1))
	qt.Assert(t, err, qt.IsNil)
	unknown, err := encode(map[string]any{"Reserve": map[string]any{"Row": "model", "Other": 1}})
	qt.Assert(t, err, qt.IsNil)
	two, err := encode(Command{Drain: &DrainCommand{}, Prefetch: &PrefetchCommand{}})
	qt.Assert(t, err, qt.IsNil)
	for name, data := range map[string][]byte{
		"empty": nil, "none set": {0x80}, "trailing": append(good, 0xc0), "unknown": unknown, "two": two,
		"declares too much": append([]byte("\x9b\x97\xc0\xc0\xc0\xc0\xc0\xc0"), 0xdd, 0xc0, 0, 0, 1, 0),
	} {
		_, err := DecodeCommand(data)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range []Command{reserve("model", "a", 1), begin("r", "d", 1, "a"), {Adopt: &structs.TableDelta{Rows: []structs.Row{testRow("m", 1)}}}} {
		data, _ := EncodeCommand(command)
		f.Add(data)
		f.Add(append(data, 0))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err != nil {
			return
		}
		again, err := EncodeCommand(command)
		qt.Assert(t, err, qt.IsNil)
		_, err = DecodeCommand(again)
		qt.Assert(t, err, qt.IsNil)
		m := newTestMachine()
		m.do(command)
	})
}

// FuzzRestore also bypasses the checksum, so that the fuzzer reaches the decoder.
func FuzzRestore(f *testing.F) {
	data, _ := encode(newTestMachine().snapshotData())
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = New("z").Restore(data)
		s := New("z")
		if s.restorePlain(data) == nil {
			qt.Assert(t, s.CheckInvariants(), qt.IsNil)
		}
	})
}
