package domainapi

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// The kept messages are those of tree 8ef6b44, the last before tenants.
func kept(c *qt.C, name string) []byte {
	c.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "8ef6b44", name))
	c.Assert(err, qt.IsNil)
	return content
}

func decodeKept(c *qt.C, name string, into any) {
	c.Helper()
	c.Assert(gob.NewDecoder(bytes.NewReader(kept(c, name))).Decode(into), qt.IsNil)
}

func TestMessagesOfTheVersionBeforeAreReadAndConfirmNothing(t *testing.T) {
	c := qt.New(t)
	var reply WatchReply
	decodeKept(c, "watchreply.gob", &reply)
	c.Assert(reply.Term, qt.Equals, uint64(7))
	c.Assert(reply.Document.Version, qt.Equals, uint64(5))
	c.Assert(reply.Loads, qt.HasLen, 1)
	c.Assert(reply.Confirmed, qt.Equals, uint64(0))
	var arguments WatchArguments
	decodeKept(c, "watcharguments.gob", &arguments)
	c.Assert(arguments, qt.Equals, WatchArguments{Router: "r", Version: 5, Term: 7, Revision: 9})
	var refusal DemandReply
	decodeKept(c, "refusal.gob", &refusal)
	c.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorNotLeader)
	var demand DemandArguments
	decodeKept(c, "demandarguments.gob", &demand)
	c.Assert(demand.Demands[0].Waiting, qt.Equals, 2)
}

func TestStateOfTheVersionBeforeIsRead(t *testing.T) {
	c := qt.New(t)
	machine := domain.NewMachine()
	_, isResult := machine.Apply(1, 1, kept(c, "command.msgpack")).(domain.Result)
	c.Assert(isResult, qt.IsTrue)
	c.Assert(machine.Document().Version, qt.Equals, uint64(5))
	restored := domain.NewMachine()
	c.Assert(restored.Restore(kept(c, "state.msgpack")), qt.IsNil)
	c.Assert(restored.Equal(machine), qt.IsTrue)
	c.Assert(restored.Reservations(), qt.HasLen, 0)
}

// watchReplyBefore has the fields that the version before knows.
type watchReplyBefore struct {
	Term    uint64
	Routers int
}

func TestVersionBeforeReadsWhatIsNew(t *testing.T) {
	c := qt.New(t)
	var buf bytes.Buffer
	c.Assert(gob.NewEncoder(&buf).Encode(&WatchReply{Term: 3, Routers: 2, Confirmed: 8}), qt.IsNil)
	var reply watchReplyBefore
	c.Assert(gob.NewDecoder(&buf).Decode(&reply), qt.IsNil)
	c.Assert(reply, qt.Equals, watchReplyBefore{Term: 3, Routers: 2})
}

// demandArgumentsBefore has the fields of paces that the version before knows.
type demandArgumentsBefore struct {
	Router string
	Paces  []paceBefore
}

type paceBefore struct {
	Service  string
	Model    string
	Instance string
	Gap      time.Duration
	Paused   bool
}

// A leader of the version before goes by gaps and pauses. Reports of its routers tell nothing of
// prompts here.
func TestPacesAreReadByTheVersionBeforeAndTheOtherWayRound(t *testing.T) {
	c := qt.New(t)
	told := residency.Pace{
		Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true,
		First: 40 * time.Millisecond, IsLate: true, Prompt: 646, Events: 10,
	}
	before := paceBefore{Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true}
	var buf bytes.Buffer
	c.Assert(gob.NewEncoder(&buf).Encode(&DemandArguments{Router: "r", Paces: []residency.Pace{told}}), qt.IsNil)
	var read demandArgumentsBefore
	c.Assert(gob.NewDecoder(&buf).Decode(&read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, demandArgumentsBefore{Router: "r", Paces: []paceBefore{before}})
	buf.Reset()
	c.Assert(gob.NewEncoder(&buf).Encode(&read), qt.IsNil)
	var arguments DemandArguments
	c.Assert(gob.NewDecoder(&buf).Decode(&arguments), qt.IsNil)
	c.Assert(arguments.Paces, qt.DeepEquals, []residency.Pace{{Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true}})
}

func TestReservationsOutliveASnapshot(t *testing.T) {
	c := qt.New(t)
	machine := domain.NewMachine()
	command, err := domain.Command{Reserve: &domain.Reservation{Keep: 9, Parts: []quota.Part{{Tenant: "t", Amount: 5}}}}.Encode()
	c.Assert(err, qt.IsNil)
	machine.Apply(1, 1, command)
	snapshot, err := machine.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := domain.NewMachine()
	c.Assert(restored.Restore(snapshot), qt.IsNil)
	c.Assert(restored.Equal(machine), qt.IsTrue)
	c.Assert(restored.Reservations(), qt.DeepEquals, []quota.Reservation{{Parts: []quota.Part{{Tenant: "t", Amount: 5}}}})
}
