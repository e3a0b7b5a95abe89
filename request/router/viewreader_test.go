package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// readerSite is a router that reads its view from members of a zone's group, which
// apply the same log and may be behind.
type readerSite struct {
	*qt.C
	random   *rand.Rand
	epoch    structs.Epoch
	index    uint64
	revision uint64
	log      []zone.Command
	members  []*zone.State
	applied  []int
	core     *Core
	copy     *ViewCopy
	reader   *ViewReader
	// rows counts the rows that were sent, whole the answers with a whole table.
	rows  int
	parts int
}

func newReaderSite(c *qt.C, members int) *readerSite {
	s := &readerSite{C: c, random: rand.New(rand.NewPCG(7, 11)), epoch: 1}
	for range members {
		s.members = append(s.members, zone.New("z"))
		s.applied = append(s.applied, 0)
	}
	s.restart(structs.ZoneView{})
	return s
}

// restart begins anew with a saved view; the zero view for an empty disk.
func (s *readerSite) restart(saved structs.ZoneView) {
	s.core = New(Options{Zone: "z"})
	s.copy = NewViewCopy(s.core)
	s.adopt(saved)
	s.reader = NewViewReader(s.copy.View())
}

func (s *readerSite) adopt(view structs.ZoneView) {
	before := s.core.TableRevision()
	s.copy.Adopt(view)
	s.core.Step(time.Unix(1000, 0), ViewChanged{View: view})
	s.Assert(s.core.TableRevision() >= before, qt.IsTrue, qt.Commentf("the table went back"))
}

func (s *readerSite) append(command zone.Command) { s.log = append(s.log, command) }

// edit changes or deletes rows at the next revision.
func (s *readerSite) edit(rows int) {
	s.revision++
	delta := &structs.TableDelta{SinceRevision: s.revision - 1, Revision: s.revision}
	for i := range rows {
		name := structs.RowName(fmt.Sprintf("row-%05d", (int(s.revision)*rows+i)%3_000))
		if s.random.IntN(4) == 0 {
			delta.Deleted = append(delta.Deleted, name)
			delta.Grants = append(delta.Grants, structs.Grant{Row: name, Zone: "z", Sequence: s.revision})
			continue
		}
		delta.Rows = append(delta.Rows, structs.Row{Name: name, Revision: s.revision, Weight: int(s.revision)})
		delta.Grants = append(delta.Grants, structs.Grant{Row: name, Zone: "z", Limit: 1, Held: 1, Sequence: s.revision})
	}
	s.append(zone.Command{Adopt: delta})
}

func (s *readerSite) register(runner structs.RunnerID, memory int64) {
	s.append(zone.Command{Runner: &zone.RunnerCommand{Info: structs.RunnerInfo{ID: runner, Zone: "z", Incarnation: 1, MemoryBytes: memory}}})
}

// catchUp lets a member apply the log up to its length.
func (s *readerSite) catchUp(member, length int) {
	for ; s.applied[member] < length; s.applied[member]++ {
		result := s.members[member].Apply(s.index+uint64(s.applied[member])+1, s.log[s.applied[member]])
		s.Assert(result.Error, qt.Equals, (*structs.Error)(nil))
	}
}

// ask makes one poll at a member, as a daemon does, and reports whether it helped.
func (s *readerSite) ask(member int) bool {
	request := s.reader.Next()
	state := s.members[member]
	view := state.ViewFor(request)
	if view.Part != nil {
		s.parts++
	}
	s.rows += len(view.Table.Rows) + len(view.Table.Deleted)
	view.Epoch = s.epoch
	adopted, helped := s.reader.Take(view)
	if helped {
		s.adopt(adopted)
	}
	return helped
}

// settle polls a member until the router has all of it.
func (s *readerSite) settle(member int) {
	s.catchUp(member, len(s.log))
	const enough = 40
	for range enough {
		s.ask(member)
	}
	s.agrees(member)
}

func (s *readerSite) agrees(member int) {
	whole := s.members[member].View(0, 0)
	got := s.copy.View()
	s.Assert(got.Table.Revision, qt.Equals, whole.Table.Revision)
	s.Assert(got.Table.Rows, qt.DeepEquals, whole.Table.Rows)
	s.Assert(len(got.Table.Grants), qt.Equals, len(whole.Table.Grants))
	s.Assert(got.Placement.Runners, qt.DeepEquals, whole.Placement.Runners)
}

func TestARouterWithoutADiskReadsTheTableInPartsWhileItChanges(t *testing.T) {
	for seed := range uint64(6) {
		s := newReaderSite(qt.New(t), 3)
		s.random = rand.New(rand.NewPCG(seed, 1))
		for range 60 {
			s.edit(100)
		}
		for member := range s.members {
			s.catchUp(member, len(s.log))
		}
		for range 40 {
			s.catchUp(s.random.IntN(3), s.random.IntN(len(s.log)+1))
			s.ask(s.random.IntN(3))
			if s.random.IntN(2) == 0 {
				s.edit(50)
			}
			s.register("e", int64(s.random.IntN(100)))
		}
		s.settle(s.random.IntN(3))
		s.Assert(s.parts > 1, qt.IsTrue)
	}
}

func TestARestartedRouterAsksOnlyForWhatChanged(t *testing.T) {
	s := newReaderSite(qt.New(t), 3)
	for range 60 {
		s.edit(100)
	}
	s.register("e", 1)
	s.settle(0)
	saved := s.copy.View()
	for range 500 {
		s.edit(1)
	}
	s.register("e", 2)
	s.rows, s.parts = 0, 0
	// The zone's members restart too, from snapshots taken after the changes.
	s.catchUp(1, len(s.log))
	snapshot, err := s.members[1].Snapshot()
	s.Assert(err, qt.IsNil)
	s.members[2] = zone.New("z")
	s.Assert(s.members[2].Restore(snapshot), qt.IsNil)
	s.applied[2] = len(s.log)
	s.restart(saved)
	s.settle(2)
	s.Assert(s.parts, qt.Equals, 0)
	s.Assert(s.rows, qt.Equals, 500)
}

func TestARouterTooFarBehindReadsTheWholeTableInParts(t *testing.T) {
	s := newReaderSite(qt.New(t), 1)
	s.edit(3_000)
	s.settle(0)
	saved := s.copy.View()
	for range 200 {
		s.edit(100)
	}
	s.parts = 0
	s.restart(saved)
	s.settle(0)
	s.Assert(s.parts > 1, qt.IsTrue)
}

func TestManyChangesComeInBoundedDeltas(t *testing.T) {
	s := newReaderSite(qt.New(t), 1)
	s.edit(3_000)
	s.settle(0)
	for range 100 {
		s.edit(100)
	}
	s.catchUp(0, len(s.log))
	view := s.members[0].View(s.core.TableRevision(), s.copy.View().Index)
	s.Assert(view.Table.Full, qt.IsFalse)
	s.Assert(view.Table.Revision < s.revision, qt.IsTrue)
	s.Assert(len(view.Table.Rows)+len(view.Table.Deleted) <= 1<<11+100, qt.IsTrue)
	s.parts = 0
	s.settle(0)
	s.Assert(s.parts, qt.Equals, 0)
}

// restoredTerms is what a restored group is ahead of its backup, in terms.
const restoredTerms = 1 << 20

func TestAZoneRestoredFromABackupNeverTakesARouterBack(t *testing.T) {
	s := newReaderSite(qt.New(t), 2)
	for range 40 {
		s.edit(100)
	}
	s.register("kept", 1)
	s.catchUp(1, len(s.log))
	backup, err := s.members[1].Snapshot()
	s.Assert(err, qt.IsNil)
	backedUp := len(s.log)
	s.epoch = 40
	lost := []zone.Command{}
	for range 30 {
		s.edit(5)
		lost = append(lost, s.log[len(s.log)-1])
	}
	s.register("lost", 1)
	s.settle(0)

	// The restored group takes the table's changes from the global group again, and
	// its log goes another way.
	s.Assert(s.members[1].Restore(backup), qt.IsNil)
	s.log = s.log[:backedUp]
	s.applied[1] = backedUp
	s.epoch = 1 + restoredTerms
	revision := s.core.TableRevision()
	s.register("new", 1)
	s.catchUp(1, len(s.log))
	s.ask(1)
	s.ask(1)
	s.Assert(s.core.TableRevision(), qt.Equals, revision)
	s.Assert(s.copy.View().Placement.Runners, qt.DeepEquals, s.members[1].View(0, 0).Placement.Runners)
	s.log = append(s.log, lost...)
	s.edit(5)
	s.settle(1)
	// A member of the old group that was not stopped is not listened to any more.
	s.epoch = 41
	s.Assert(s.ask(0), qt.IsFalse)
	s.agrees(1)
}

func TestATableThatForkedIsReadWholeOnceItIsNewEnough(t *testing.T) {
	s := newReaderSite(qt.New(t), 1)
	for range 40 {
		s.edit(100)
	}
	s.settle(0)
	s.catchUp(0, len(s.log))
	backup, err := s.members[0].Snapshot()
	s.Assert(err, qt.IsNil)
	backedUp, revision := len(s.log), s.revision
	for range 10 {
		s.edit(3)
	}
	s.settle(0)

	// The whole site is restored: other edits get the revisions of the lost ones.
	s.Assert(s.members[0].Restore(backup), qt.IsNil)
	s.log, s.applied[0], s.revision = s.log[:backedUp], backedUp, revision
	s.epoch += restoredTerms
	for range 11 {
		s.edit(7)
	}
	s.parts = 0
	s.settle(0)
	s.Assert(s.parts > 1, qt.IsTrue)
}
