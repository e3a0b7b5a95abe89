package zone

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// wideDelta returns a delta with rows, deletions, grants and zone lists.
func wideDelta(revision uint64, full bool) structs.TableDelta {
	// The runner "a" has a replica of "model".
	delta := structs.TableDelta{
		Revision: revision, Full: full,
		Rows: []structs.Row{testRow("model", 60)}, Grants: []structs.Grant{testGrant("model", 2, 2)},
	}
	for i := range 7 {
		name := structs.RowName(fmt.Sprintf("row-%d-%d", revision, i))
		delta.Rows = append(delta.Rows, testRow(name, 10))
		delta.Grants = append(delta.Grants, testGrant(name, 1, 1))
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: name, Zones: []structs.ZoneID{"y"}})
	}
	if !full {
		delta.Deleted = []structs.RowName{"ungranted", "big"}
	}
	return delta
}

// restart replaces the state by one restored from its snapshot.
func (m *testMachine) restart(c *qt.C) {
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := New("z")
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.CheckInvariants(), qt.IsNil)
	m.State = restored
}

func snapshotOf(c *qt.C, m *testMachine) string {
	data := m.snapshotData()
	data.Index, data.PlacementIndex = 0, 0
	encoded, err := encode(data)
	c.Assert(err, qt.IsNil)
	return string(encoded)
}

func TestDeltaPartsAreAdoptedAtomicallyAcrossRestarts(t *testing.T) {
	for _, full := range []bool{true, false} {
		for changes := 1; changes <= 9; changes++ {
			t.Run(fmt.Sprintf("full=%t, %d changes a part", full, changes), func(t *testing.T) {
				c := qt.New(t)
				delta := wideDelta(9, full)
				whole, parted := newTestMachine(), newTestMachine()
				before := snapshotOf(c, parted)
				commands := AdoptCommands(delta, changes)
				c.Assert(len(commands), qt.Equals, (countChanges(delta)+changes-1)/changes)
				for number, command := range commands {
					c.Assert(countChanges(command.AdoptPart.Delta) <= changes, qt.IsTrue)
					c.Assert(asError(parted.do(command).Error), qt.IsNil)
					parted.restart(c)
					if number == len(commands)-1 {
						break
					}
					// The new table must not be visible yet.
					c.Assert(parted.TableRevision(), qt.Equals, uint64(5))
					c.Assert(asError(parted.do(reserve("row-9-0", "b", 2)).Error), qt.IsNotNil)
					staged := parted.table.staged
					parted.table.staged = nil
					c.Assert(snapshotOf(c, parted), qt.Equals, before)
					parted.table.staged = staged
				}
				whole.must(Command{Adopt: &delta})
				c.Assert(snapshotOf(c, parted), qt.Equals, snapshotOf(c, whole))
			})
		}
	}
}

func TestPartsOfDifferentDeltasAreNotMixed(t *testing.T) {
	c := qt.New(t)
	older, newer := AdoptCommands(wideDelta(8, true), 5), AdoptCommands(wideDelta(9, true), 5)
	m := newTestMachine()
	kindOf := func(command Command) structs.ErrorKind { return structs.KindOf(asError(m.do(command).Error)) }
	c.Assert(kindOf(older[1]), qt.Equals, structs.ErrorConflict) // without its first part
	m.must(older[0])
	m.must(older[1])
	c.Assert(kindOf(newer[2]), qt.Equals, structs.ErrorConflict) // of another delta
	c.Assert(kindOf(older[1]), qt.Equals, structs.ErrorConflict) // twice
	for _, command := range newer {
		m.must(command) // another leader starts again
	}
	c.Assert(m.TableRevision(), qt.Equals, uint64(9))
	c.Assert(m.Rows(), qt.HasLen, 8)
	for _, command := range older[2:] {
		m.must(command) // not newer than the table
	}
	c.Assert(m.TableRevision(), qt.Equals, uint64(9))
	c.Assert(m.table.staged, qt.IsNil)
	bad := *newer[0].AdoptPart
	bad.Part = bad.Parts
	c.Assert(kindOf(Command{AdoptPart: &bad}), qt.Equals, structs.ErrorInvalid)
}

func TestNewerDeltaDiscardsStagedParts(t *testing.T) {
	c := qt.New(t)
	m := newTestMachine()
	m.must(AdoptCommands(wideDelta(8, true), 5)[0])
	delta := wideDelta(9, true)
	m.must(Command{Adopt: &delta})
	c.Assert(m.table.staged, qt.IsNil)
}

func asError(problem *structs.Error) error {
	if problem == nil {
		return nil
	}
	return problem
}
