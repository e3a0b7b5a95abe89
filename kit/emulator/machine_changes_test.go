package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneList returns the machines of the zone in the full list.
func zoneList(list *MachineList, now time.Time, zone structs.ZoneID) []structs.Machine {
	var machines []structs.Machine
	for _, machine := range list.List(now) {
		if machine.Zone == zone {
			machines = append(machines, machine)
		}
	}
	return machines
}

func TestMachineReaderConvergesDespiteMissedResponses(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 5))
		list := NewMachineList(time.Second)
		now := time.Unix(1000, 0)
		var reader engineapi.MachineReader
		for range 300 {
			now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
			runner := structs.RunnerID(fmt.Sprint("e", random.IntN(12)))
			switch random.IntN(4) {
			case 0:
				list.Remove(now, runner)
			case 1:
				list.Leave(now, runner)
			case 2:
				// A removed machine may be added again in another zone.
				zone := structs.ZoneID([]string{"y", "z"}[random.IntN(2)])
				list.Put(now, structs.Machine{Runner: runner, Zone: zone, State: structs.MachineLive})
			}
			if random.IntN(60) == 0 {
				list.dropRemoved()
			}
			var since uint64
			_, _ = fmt.Sscan(reader.Since(), &since)
			changes, revision := list.Changes(now, "z", since)
			if random.IntN(3) == 0 {
				continue
			}
			changes.Version = fmt.Sprint(revision)
			c.Assert(append([]structs.Machine(nil), reader.Take(changes)...), qt.DeepEquals, zoneList(list, now, "z"))
		}
	}
}

func TestMachineListSendsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		list := NewMachineList(0)
		server := NewMachineServer(log.NewNopLogger(), list, NewClock(1))
		for i := range 100 {
			server.Put(structs.Machine{Runner: structs.RunnerID(fmt.Sprintf("e%03d", i)), Zone: "z", State: structs.MachineLive})
		}
		memory := networktest.NewMemory(0)
		address := func(handler http.Handler) string { return memory.Serve(t, handler) }
		client := engineapi.NewClient(engineapi.ClientOptions{Network: memory})
		c.Cleanup(client.Close)
		var reader engineapi.MachineReader
		read := func(at string) (engineapi.MachineChanges, []structs.Machine) {
			changes, err := client.MachineChanges(context.Background(), at, "z", reader.Since())
			c.Assert(err, qt.IsNil)
			return changes, reader.Take(changes)
		}
		first := address(server)
		changes, machines := read(first)
		c.Assert(changes.Full, qt.IsTrue)
		c.Assert(machines, qt.HasLen, 100)
		changes, _ = read(first)
		c.Assert(changes.Full || len(changes.Machines)+len(changes.Gone) > 0, qt.IsFalse)

		c.Assert(client.Leave(context.Background(), first, engineapi.LeaveRequest{Runner: "e007"}), qt.IsNil)
		c.Assert(client.Leave(context.Background(), first, engineapi.LeaveRequest{Runner: "e008", Gone: true}), qt.IsNil)
		changes, machines = read(first)
		c.Assert(changes.Machines, qt.HasLen, 1)
		c.Assert(changes.Gone, qt.DeepEquals, []structs.RunnerID{"e008"})
		c.Assert(machines, qt.HasLen, 99)
		c.Assert(machines[7].State, qt.Equals, structs.MachineLeaving)

		// A new server instance does not know the version.
		again := NewMachineServer(log.NewNopLogger(), NewMachineList(0), NewClock(1))
		again.Put(structs.Machine{Runner: "only", Zone: "z", State: structs.MachineLive})
		changes, machines = read(address(again))
		c.Assert(changes.Full, qt.IsTrue)
		c.Assert(machines, qt.HasLen, 1)

		// A server without support for changes returns the machines of all zones.
		plain := address(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(` [{"runner":"a","zone":"y"},{"runner":"b","zone":"z"}]`))
		}))
		for range 2 {
			changes, machines = read(plain)
			c.Assert(changes.Full, qt.IsTrue)
			c.Assert(reader.Since(), qt.Equals, "")
			c.Assert(machines, qt.DeepEquals, []structs.Machine{{Runner: "b", Zone: "z"}})
		}

		for range 200 {
			changes, _ = read(first)
		}
		full := 0
		for range 122 {
			if changes, _ = read(first); changes.Full {
				full++
			}
		}
		c.Assert(full, qt.Equals, 2, qt.Commentf("the full list is read periodically"))
	})
}
