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

// readerFixture is a router that reads its view from members of a zone group, which apply
// the same log and may lag behind.
type readerFixture struct {
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
	// rows counts the rows sent, parts the replies with a part of a full table.
	rows  int
	parts int
}

func newReaderFixture(c *qt.C, members int) *readerFixture {
	s := &readerFixture{C: c, random: rand.New(rand.NewPCG(7, 11)), epoch: 1}
	for range members {
		s.members = append(s.members, zone.New("z"))
		s.applied = append(s.applied, 0)
	}
	s.restart(structs.ZoneView{})
	return s
}

// restart restarts the router from a saved view; the zero view means an empty disk.
func (s *readerFixture) restart(saved structs.ZoneView) {
	s.core = New(Options{Zone: "z"})
	s.copy = NewViewCopy(s.core)
	s.adopt(saved)
	s.reader = NewViewReader(s.copy.View())
}

func (s *readerFixture) adopt(view structs.ZoneView) {
	before := s.core.TableRevision()
	s.copy.Adopt(view)
	s.core.Step(time.Unix(1000, 0), ViewChanged{View: view})
	s.Assert(s.core.TableRevision() >= before, qt.IsTrue, qt.Commentf("the table revision decreased"))
}

func (s *readerFixture) append(command zone.Command) { s.log = append(s.log, command) }

// edit changes or deletes rows at the next revision.
func (s *readerFixture) edit(rows int) {
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

func (s *readerFixture) register(runner structs.RunnerID, memory int64) {
	s.append(zone.Command{Runner: &zone.RunnerCommand{Info: structs.RunnerInfo{ID: runner, Zone: "z", Incarnation: 1, MemoryBytes: memory}}})
}

// catchUp makes a member apply the log up to length.
func (s *readerFixture) catchUp(member, length int) {
	for ; s.applied[member] < length; s.applied[member]++ {
		result := s.members[member].Apply(s.index+uint64(s.applied[member])+1, s.log[s.applied[member]])
		s.Assert(result.Error, qt.Equals, (*structs.Error)(nil))
	}
}

// poll polls a member once and reports whether it helped.
func (s *readerFixture) poll(member int) bool {
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

// settle polls a member until the router is up to date.
func (s *readerFixture) settle(member int) {
	s.catchUp(member, len(s.log))
	const enough = 40
	for range enough {
		s.poll(member)
	}
	s.checkAgrees(member)
}

func (s *readerFixture) checkAgrees(member int) {
	whole := s.members[member].View(0, 0)
	got := s.copy.View()
	s.Assert(got.Table.Revision, qt.Equals, whole.Table.Revision)
	s.Assert(got.Table.Rows, qt.DeepEquals, whole.Table.Rows)
	s.Assert(len(got.Table.Grants), qt.Equals, len(whole.Table.Grants))
	s.Assert(got.Placement.Runners, qt.DeepEquals, whole.Placement.Runners)
}

func TestRouterWithoutSavedViewReadsTheTableInPartsWhileItChanges(t *testing.T) {
	for seed := range uint64(6) {
		s := newReaderFixture(qt.New(t), 3)
		s.random = rand.New(rand.NewPCG(seed, 1))
		for range 60 {
			s.edit(100)
		}
		for member := range s.members {
			s.catchUp(member, len(s.log))
		}
		for range 40 {
			s.catchUp(s.random.IntN(3), s.random.IntN(len(s.log)+1))
			s.poll(s.random.IntN(3))
			if s.random.IntN(2) == 0 {
				s.edit(50)
			}
			s.register("e", int64(s.random.IntN(100)))
		}
		s.settle(s.random.IntN(3))
		s.Assert(s.parts > 1, qt.IsTrue)
	}
}

func TestRestartedRouterRequestsOnlyChanges(t *testing.T) {
	s := newReaderFixture(qt.New(t), 3)
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
	// The members of the zone restart too, from snapshots taken after the changes.
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

func TestRouterFarBehindReadsTheFullTableInParts(t *testing.T) {
	s := newReaderFixture(qt.New(t), 1)
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

func TestManyChangesAreSentInBoundedDeltas(t *testing.T) {
	s := newReaderFixture(qt.New(t), 1)
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

// restoredTerms is the number of terms that a restored group is ahead of its backup.
const restoredTerms = 1 << 20

func TestRestoredZoneNeverRevertsTheTableOfARouter(t *testing.T) {
	s := newReaderFixture(qt.New(t), 2)
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
	// its log diverges.
	s.Assert(s.members[1].Restore(backup), qt.IsNil)
	s.log = s.log[:backedUp]
	s.applied[1] = backedUp
	s.epoch = 1 + restoredTerms
	revision := s.core.TableRevision()
	s.register("new", 1)
	s.catchUp(1, len(s.log))
	s.poll(1)
	s.poll(1)
	s.Assert(s.core.TableRevision(), qt.Equals, revision)
	s.Assert(s.copy.View().Placement.Runners, qt.DeepEquals, s.members[1].View(0, 0).Placement.Runners)
	s.log = append(s.log, lost...)
	s.edit(5)
	s.settle(1)
	// A member of the old group that still runs is ignored.
	s.epoch = 41
	s.Assert(s.poll(0), qt.IsFalse)
	s.checkAgrees(1)
}

func TestForkedTableIsReadInFullOnceItIsNewEnough(t *testing.T) {
	s := newReaderFixture(qt.New(t), 1)
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
