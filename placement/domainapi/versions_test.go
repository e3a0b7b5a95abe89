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

// Before limits were paced, questions and answers about them told less. Both ways, what is not known
// is passed over.
func TestDrawsOfTheVersionBeforeAreRead(t *testing.T) {
	type want struct {
		Tenant  string
		Held    float64
		Waiting []float64
		Reserve float64
	}
	type grant struct {
		Tenant string
		Amount float64
		Keep   float64
		RoomIn time.Duration
	}
	type drawArguments struct {
		Router string
		Wants  []want
	}
	type drawReply struct{ Grants []grant }
	c := qt.New(t)
	pass := func(from, into any) {
		c.Helper()
		var sent bytes.Buffer
		c.Assert(gob.NewEncoder(&sent).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&sent).Decode(into), qt.IsNil)
	}
	var asked DrawArguments
	pass(drawArguments{Router: "r", Wants: []want{{"t", 1, []float64{2, 3}, 4}}}, &asked)
	c.Assert(asked, qt.DeepEquals, DrawArguments{Router: "r", Wants: []quota.Want{{Tenant: "t", Held: 1, Waiting: []float64{2, 3}, Reserve: 4}}})
	var askedBefore drawArguments
	asked.Wants[0].Asks = []quota.Ask{{Class: "a", Digest: 7, Due: time.Second, Away: time.Second}, {}}
	pass(asked, &askedBefore)
	c.Assert(askedBefore.Wants[0].Waiting, qt.DeepEquals, []float64{2, 3})
	var answered DrawReply
	pass(drawReply{Grants: []grant{{"t", 5, 6, time.Second}}}, &answered)
	c.Assert(answered.Grants, qt.DeepEquals, []quota.Grant{{Tenant: "t", Amount: 5, Keep: 6, RoomIn: time.Second}})
	var answeredBefore drawReply
	answered.Grants[0].Answers = []quota.Answer{{IsAdmitted: true}, {ComeBackIn: time.Second}}
	pass(answered, &answeredBefore)
	c.Assert(answeredBefore.Grants[0], qt.Equals, grant{"t", 5, 6, time.Second})
}
