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

// readGolden reads a message encoded by commit 8ef6b44, the last one without tenants.
func readGolden(c *qt.C, name string) []byte {
	c.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "8ef6b44", name))
	c.Assert(err, qt.IsNil)
	return content
}

func decodeGolden(c *qt.C, name string, into any) {
	c.Helper()
	c.Assert(gob.NewDecoder(bytes.NewReader(readGolden(c, name))).Decode(into), qt.IsNil)
}

func TestMessagesOfPreviousReleaseDecodeWithoutConfirmation(t *testing.T) {
	c := qt.New(t)
	var reply WatchReply
	decodeGolden(c, "watchreply.gob", &reply)
	c.Assert(reply.Term, qt.Equals, uint64(7))
	c.Assert(reply.Document.Version, qt.Equals, uint64(5))
	c.Assert(reply.Loads, qt.HasLen, 1)
	c.Assert(reply.Confirmed, qt.Equals, uint64(0))
	var arguments WatchArguments
	decodeGolden(c, "watcharguments.gob", &arguments)
	c.Assert(arguments, qt.Equals, WatchArguments{Router: "r", Version: 5, Term: 7, Revision: 9})
	var refusal DemandReply
	decodeGolden(c, "refusal.gob", &refusal)
	c.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorNotLeader)
	var demand DemandArguments
	decodeGolden(c, "demandarguments.gob", &demand)
	c.Assert(demand.Demands[0].Waiting, qt.Equals, 2)
}

func TestStateOfPreviousReleaseIsRestored(t *testing.T) {
	c := qt.New(t)
	machine := domain.NewMachine()
	_, isResult := machine.Apply(1, 1, readGolden(c, "command.msgpack")).(domain.Result)
	c.Assert(isResult, qt.IsTrue)
	c.Assert(machine.Document().Version, qt.Equals, uint64(5))
	restored := domain.NewMachine()
	c.Assert(restored.Restore(readGolden(c, "state.msgpack")), qt.IsNil)
	c.Assert(restored.Equal(machine), qt.IsTrue)
	c.Assert(restored.Reservations(), qt.HasLen, 0)
}

// previousWatchReply has a subset of the fields known to the previous release.
type previousWatchReply struct {
	Term    uint64
	Routers int
}

func TestPreviousReleaseDecodesNewMessages(t *testing.T) {
	c := qt.New(t)
	var buf bytes.Buffer
	c.Assert(gob.NewEncoder(&buf).Encode(&WatchReply{Term: 3, Routers: 2, Confirmed: 8}), qt.IsNil)
	var reply previousWatchReply
	c.Assert(gob.NewDecoder(&buf).Decode(&reply), qt.IsNil)
	c.Assert(reply, qt.Equals, previousWatchReply{Term: 3, Routers: 2})
}

// previousDemandArguments has the fields of paces known to the previous release.
type previousDemandArguments struct {
	Router string
	Paces  []previousPace
}

type previousPace struct {
	Service  string
	Model    string
	Instance string
	Gap      time.Duration
	Paused   bool
}

// The previous release uses only gaps and pauses and sends no prompt measurements.
func TestPacesAreCompatibleWithPreviousRelease(t *testing.T) {
	c := qt.New(t)
	sent := residency.Pace{
		Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true,
		First: 40 * time.Millisecond, IsLate: true, Prompt: 646, Events: 10,
	}
	previous := previousPace{Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true}
	var buf bytes.Buffer
	c.Assert(gob.NewEncoder(&buf).Encode(&DemandArguments{Router: "r", Paces: []residency.Pace{sent}}), qt.IsNil)
	var decoded previousDemandArguments
	c.Assert(gob.NewDecoder(&buf).Decode(&decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, previousDemandArguments{Router: "r", Paces: []previousPace{previous}})
	buf.Reset()
	c.Assert(gob.NewEncoder(&buf).Encode(&decoded), qt.IsNil)
	var arguments DemandArguments
	c.Assert(gob.NewDecoder(&buf).Decode(&arguments), qt.IsNil)
	c.Assert(arguments.Paces, qt.DeepEquals, []residency.Pace{{Service: "s", Model: "m", Instance: "i", Gap: 21 * time.Millisecond, Paused: true}})
}

func TestSnapshotRestoresReservations(t *testing.T) {
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

// Draw messages without the fields for paced limits decode, and unknown fields are ignored.
func TestDrawsAreCompatibleWithPreviousRelease(t *testing.T) {
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
	roundTrip := func(from, into any) {
		c.Helper()
		var sent bytes.Buffer
		c.Assert(gob.NewEncoder(&sent).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&sent).Decode(into), qt.IsNil)
	}
	var arguments DrawArguments
	roundTrip(drawArguments{Router: "r", Wants: []want{{"t", 1, []float64{2, 3}, 4}}}, &arguments)
	c.Assert(arguments, qt.DeepEquals, DrawArguments{Router: "r", Wants: []quota.Want{{Tenant: "t", Held: 1, Waiting: []float64{2, 3}, Reserve: 4}}})
	var previousArguments drawArguments
	arguments.Wants[0].Asks = []quota.Ask{{Class: "a", Digest: 7, Due: time.Second, Away: time.Second}, {}}
	roundTrip(arguments, &previousArguments)
	c.Assert(previousArguments.Wants[0].Waiting, qt.DeepEquals, []float64{2, 3})
	var reply DrawReply
	roundTrip(drawReply{Grants: []grant{{"t", 5, 6, time.Second}}}, &reply)
	c.Assert(reply.Grants, qt.DeepEquals, []quota.Grant{{Tenant: "t", Amount: 5, Keep: 6, RoomIn: time.Second}})
	var previousReply drawReply
	reply.Grants[0].Answers = []quota.Answer{{IsAdmitted: true}, {ComeBackIn: time.Second}}
	roundTrip(reply, &previousReply)
	c.Assert(previousReply.Grants[0], qt.Equals, grant{"t", 5, 6, time.Second})
}
