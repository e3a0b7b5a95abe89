package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// endTimes starts the given number of reads of 1 s each and returns their completion
// times in seconds, rounded to milliseconds.
func endTimes(store *emulator.Store, reads int) []float64 {
	for call := range reads {
		store.Fetch(start, emulator.CallID(call), engineapi.FetchRequest{Row: "m", SizeBytes: 1000})
	}
	var ends []float64
	for {
		at, found := store.NextEvent()
		if !found {
			return ends
		}
		for range store.Advance(at) {
			ends = append(ends, at.Sub(start).Round(time.Millisecond).Seconds())
		}
	}
}

func TestStoreLimitsRateAndBandwidth(t *testing.T) {
	tests := []struct {
		name    string
		options emulator.StoreOptions
		reads   int
		want    []float64
	}{
		{"alone", emulator.StoreOptions{}, 1, []float64{1}},
		{"at full speed", emulator.StoreOptions{}, 2, []float64{1, 1}},
		{"rate admits the rest later", emulator.StoreOptions{LoadsPerSecond: 0.5}, 4, []float64{1, 1, 3, 5}},
		// The third read starts at 0.5 s; from then on three reads share the bandwidth
		// of two.
		{"beyond full speed all slow down", emulator.StoreOptions{LoadsPerSecond: 2}, 3, []float64{1.25, 1.25, 1.75}},
		{"slow", emulator.StoreOptions{Faults: emulator.StoreFaults{SlowFactor: 4}}, 2, []float64{4, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.options.BytesPerSecond = 1000
			test.options.FullSpeed = 2
			qt.Check(t, endTimes(emulator.NewStore(test.options), test.reads), qt.DeepEquals, test.want)
		})
	}
}

func TestStoreFailsAndCancelsReads(t *testing.T) {
	c := qt.New(t)
	store := emulator.NewStore(emulator.StoreOptions{BytesPerSecond: 1000, Faults: emulator.StoreFaults{FailRate: 1}})
	store.Fetch(start, 1, engineapi.FetchRequest{Row: "m", SizeBytes: 1000})
	store.Fetch(start, 2, engineapi.FetchRequest{Row: "m", SizeBytes: 1000})
	c.Check(store.State().Active, qt.Equals, 2)
	store.Cancel(start.Add(500*time.Millisecond), 2)
	c.Check(store.State().Active, qt.Equals, 1)
	ended := store.Advance(start.Add(2 * time.Second))
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0].Failed, qt.IsTrue)
	c.Check(ended[0].Reply.Took.Round(time.Millisecond), qt.Equals, time.Second)
	c.Check(store.State().Finished, qt.Equals, uint64(1))
}

func TestMachineListLags(t *testing.T) {
	c := qt.New(t)
	list := emulator.NewMachineList(5 * time.Second)
	machine := structs.Machine{Runner: "a", Zone: "z", Address: "127.0.0.1:1", State: structs.MachineLive}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	list.Put(at(0), machine)
	c.Check(list.List(at(4)), qt.HasLen, 0)
	c.Check(list.List(at(5)), qt.DeepEquals, []structs.Machine{machine})
	c.Check(list.Leave(at(6), "a"), qt.IsTrue)
	c.Check(list.Leave(at(6), "unknown"), qt.IsFalse)
	c.Check(list.List(at(10))[0].State, qt.Equals, structs.MachineLive)
	c.Check(list.List(at(11))[0].State, qt.Equals, structs.MachineLeaving)
	c.Check(list.Remove(at(12), "a"), qt.IsTrue)
	c.Check(list.Remove(at(12), "a"), qt.IsFalse)
	c.Check(list.List(at(16)), qt.HasLen, 1)
	c.Check(list.List(at(17)), qt.HasLen, 0)
}
