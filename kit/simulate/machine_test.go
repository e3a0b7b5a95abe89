package simulate

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTestDisk(scheduler *Scheduler) *Disk {
	return NewDisk(scheduler, rand.New(rand.NewPCG(1, 1)), syncDelay)
}

func TestDiskKeepsSyncedWrites(t *testing.T) {
	c := qt.New(t)
	lostAny, keptAny := false, false
	disk := newTestDisk(&Scheduler{})
	for range 50 {
		disk.Replace()
		c.Assert(disk.Write(Record{File: "log", Value: 0}), qt.IsNil)
		disk.Sync()
		for i := 1; i <= 3; i++ {
			c.Assert(disk.Write(Record{File: "log", Value: i}), qt.IsNil)
		}
		lost := disk.Crash()
		records := disk.Read("log")
		c.Assert(len(records), qt.Equals, 4-lost)
		for i, record := range records {
			c.Assert(record.Value, qt.Equals, i)
		}
		lostAny = lostAny || lost > 0
		keptAny = keptAny || lost < 3
	}
	c.Assert(lostAny && keptAny, qt.IsTrue)
}

func TestLyingDiskLosesSyncedWrites(t *testing.T) {
	c := qt.New(t)
	disk := newTestDisk(&Scheduler{})
	disk.Lying = true
	c.Assert(disk.Write(Record{File: "log", Value: 1}), qt.IsNil)
	disk.Sync()
	c.Assert(disk.Crash(), qt.Equals, 1)
	c.Assert(disk.Read("log"), qt.HasLen, 0)
}

func TestDiskFullRefusesWrites(t *testing.T) {
	c := qt.New(t)
	disk := newTestDisk(&Scheduler{})
	disk.Full = true
	c.Assert(disk.Write(Record{File: "log"}), qt.IsNotNil)
}

func TestSchedulerOrdersByTimeThenInsertion(t *testing.T) {
	c := qt.New(t)
	scheduler := &Scheduler{}
	var order []int
	scheduler.After(2*time.Second, func() { order = append(order, 3) })
	scheduler.After(time.Second, func() { order = append(order, 1) })
	scheduler.After(time.Second, func() { order = append(order, 2) })
	scheduler.After(4*time.Second, func() { order = append(order, 4) })
	scheduler.Run(3 * time.Second)
	c.Assert(order, qt.DeepEquals, []int{1, 2, 3})
	c.Assert(scheduler.Now(), qt.Equals, 3*time.Second)
}

func TestClockDriftsAndSteps(t *testing.T) {
	c := qt.New(t)
	scheduler := &Scheduler{}
	clock := NewClock(scheduler)
	scheduler.Run(10 * time.Second)
	clock.SetRate(1.5)
	clock.Step(-time.Minute)
	scheduler.Run(20 * time.Second)
	c.Assert(clock.Monotonic(), qt.Equals, 25*time.Second)
	c.Assert(clock.Now(), qt.Equals, epochStart.Add(25*time.Second-time.Minute))
	c.Assert(clock.Virtual(3*time.Second), qt.Equals, 2*time.Second)
}

func TestNetworkCutsOneWayAndHeals(t *testing.T) {
	c := qt.New(t)
	scheduler := &Scheduler{}
	network := NewNetwork(scheduler, rand.New(rand.NewPCG(1, 1)), NewTrace(scheduler), calmNetwork)
	got := map[Address]int{}
	for _, address := range []Address{"a", "b"} {
		network.Attach(address, "zone-"+"x", func(Address, any) { got[address]++ })
	}
	send := func() {
		network.Send("a", "b", 1)
		network.Send("b", "a", 1)
		scheduler.Run(scheduler.Now() + time.Second)
	}
	network.Cut("a", "b")
	network.Cut("a", "b")
	send()
	c.Assert(got, qt.DeepEquals, map[Address]int{"a": 1})
	network.Heal("a", "b")
	send()
	c.Assert(got, qt.DeepEquals, map[Address]int{"a": 2})
	network.Heal("a", "b")
	send()
	c.Assert(got, qt.DeepEquals, map[Address]int{"a": 3, "b": 1})
}

// countingService counts its calls.
type countingService struct{ started, received, ended int }

func (e *countingService) start()               { e.started++ }
func (e *countingService) receive(Address, any) { e.received++ }
func (e *countingService) stopped()             { e.ended++ }

func TestMachinePausesCrashesAndRestarts(t *testing.T) {
	c := qt.New(t)
	scheduler := &Scheduler{}
	machine := newMachine(scheduler, NewTrace(scheduler), rand.New(rand.NewPCG(1, 1)), "a", "zone-x")
	service := &countingService{}
	machine.service = service
	machine.Start()
	fired := 0
	machine.after(time.Second, func() { fired++ })
	machine.Pause()
	machine.deliver("b", 1)
	scheduler.Run(2 * time.Second)
	c.Assert(service.received+fired, qt.Equals, 0)
	machine.Resume()
	c.Assert(service.received, qt.Equals, 1)
	c.Assert(fired, qt.Equals, 1)

	machine.after(time.Second, func() { fired++ })
	machine.ArmCrash(2, time.Minute, time.Second)
	c.Assert(machine.step(), qt.IsFalse)
	c.Assert(machine.step(), qt.IsTrue)
	machine.deliver("b", 1)
	scheduler.Run(10 * time.Second)
	c.Assert(*service, qt.Equals, countingService{started: 2, received: 1, ended: 1})
	c.Assert(fired, qt.Equals, 1, qt.Commentf("a timer of an earlier process fired"))
}
