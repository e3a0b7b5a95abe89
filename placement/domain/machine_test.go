package domain

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

func apply(c *qt.C, m *Machine, command Command) Result {
	data, err := command.Encode()
	c.Assert(err, qt.IsNil)
	result, ok := m.Apply(1, 1, data).(Result)
	c.Assert(ok, qt.IsTrue)
	return result
}

func TestOnlyHigherVersionReplacesDocument(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	for _, step := range []struct {
		version, held uint64
		source        string
	}{{4, 4, "four"}, {3, 4, "four"}, {4, 4, "four"}, {9, 9, "nine"}, {8, 9, "nine"}} {
		source := "other"
		if step.version == step.held && step.version != m.Document().Version {
			source = step.source
		}
		result := apply(c, m, Command{Put: &Document{Version: step.version, Source: []byte(source)}})
		c.Assert(result.Version, qt.Equals, step.held)
		c.Assert(string(m.Document().Source), qt.Equals, step.source)
	}
}

func TestDepartureIsFinal(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	apply(c, m, Command{Depart: &Departure{Instance: "a", Gone: true}})
	apply(c, m, Command{Depart: &Departure{Instance: "a"}})
	departure, known := m.Departure("a")
	c.Assert(known, qt.IsTrue)
	c.Assert(departure.Gone, qt.IsTrue)
	apply(c, m, Command{Depart: &Departure{Instance: "b"}})
	apply(c, m, Command{Depart: &Departure{Instance: "b", Gone: true}})
	c.Assert(m.Departures(), qt.DeepEquals, map[string]bool{"a": true, "b": true})
}

func TestSnapshotRestoresState(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	apply(c, m, Command{Put: &Document{Version: 4, Source: []byte("four")}})
	for _, name := range []string{"x", "y", "z"} {
		apply(c, m, Command{Depart: &Departure{Instance: name}})
	}
	apply(c, m, Command{Registrations: []Registration{{Instance: "r", Address: "10.0.0.1:1"}}})
	apply(c, m, Command{StoreLimits: []StoreLimit{{Service: "s", AtOnce: 4, IsCrowded: true}}})
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := NewMachine()
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.Equal(m), qt.IsTrue)
	limit, isKnown := restored.StoreLimit("s")
	c.Assert(isKnown, qt.IsTrue)
	c.Assert(limit, qt.Equals, StoreLimit{Service: "s", AtOnce: 4, IsCrowded: true})
}

func TestStoreLimitsAreBounded(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	for i := range maxStoreLimits + 5 {
		apply(c, m, Command{StoreLimits: []StoreLimit{{Service: fmt.Sprint("s", i), AtOnce: 1}}})
	}
	c.Assert(m.StoreLimits(), qt.HasLen, maxStoreLimits)
	apply(c, m, Command{StoreLimits: []StoreLimit{{Service: "s0", AtOnce: 9}}})
	limit, _ := m.StoreLimit("s0")
	c.Assert(limit.AtOnce, qt.Equals, 9)
}

func TestExpandReversesCompress(t *testing.T) {
	c := qt.New(t)
	packed, err := Compress([]byte(`{"version":7}`))
	c.Assert(err, qt.IsNil)
	source, err := Expand(packed)
	c.Assert(err, qt.IsNil)
	c.Assert(string(source), qt.Equals, `{"version":7}`)
	_, err = Expand([]byte{0xff, 0x00})
	c.Assert(err, qt.IsNotNil)
}

func TestOneRegistrationPerAddress(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	apply(c, m, Command{Registrations: []Registration{{Instance: "old", Address: "10.0.0.1:1"}}})
	apply(c, m, Command{Registrations: []Registration{{Instance: "new", Address: "10.0.0.1:1"}}})
	c.Assert(m.Registrations(), qt.DeepEquals, []Registration{{Instance: "new", Address: "10.0.0.1:1"}})
	apply(c, m, Command{Depart: &Departure{Instance: "new"}})
	c.Assert(m.Registrations(), qt.HasLen, 1, qt.Commentf("a leaving runner stays registered"))
	apply(c, m, Command{Depart: &Departure{Instance: "new", Gone: true}})
	apply(c, m, Command{Registrations: []Registration{{Instance: "new", Address: "10.0.0.1:1"}}})
	c.Assert(m.Registrations(), qt.HasLen, 0, qt.Commentf("late heartbeat of a gone runner"))
	apply(c, m, Command{Registrations: []Registration{{Instance: "third", Address: "10.0.0.1:1"}}})
	apply(c, m, Command{Silent: []string{"third"}})
	c.Assert(m.Registrations(), qt.HasLen, 0)
}

func TestOnlyLatestIncarnationIsRegistered(t *testing.T) {
	c := qt.New(t)
	m := NewMachine()
	at := func(startedAt int64, address string) Registration {
		return Registration{Instance: fleet.Incarnation("r", startedAt), Address: address}
	}
	apply(c, m, Command{Registrations: []Registration{at(100, "10.0.0.1:1")}})
	apply(c, m, Command{Registrations: []Registration{at(200, "10.0.0.2:1")}})
	apply(c, m, Command{Registrations: []Registration{at(100, "10.0.0.1:1")}})
	c.Assert(m.Registrations(), qt.DeepEquals, []Registration{at(200, "10.0.0.2:1")})
	c.Assert(m.IsRegistered("r"), qt.IsTrue)
	apply(c, m, Command{Depart: &Departure{Instance: "r#100", Gone: true}})
	c.Assert(m.Registrations(), qt.HasLen, 1)
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := NewMachine()
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.IsRegistered("r"), qt.IsTrue)
	apply(c, restored, Command{Depart: &Departure{Instance: "r#200", Gone: true}})
	c.Assert(restored.IsRegistered("r"), qt.IsFalse)
}
