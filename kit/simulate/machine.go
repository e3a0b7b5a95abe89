package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// syncDelay is what a sync costs on a healthy disk.
	syncDelay = 2 * time.Millisecond
	// deferredLimit bounds the messages that wait for a paused process.
	deferredLimit = 4096
)

// service is what runs on a machine while its process lives.
type service interface {
	// start is called when the process starts, with the disk as it is then.
	start()
	// receive handles one message.
	receive(from Address, message any)
	// stopped is called when the process has died.
	stopped()
}

// Machine is a simulated computer with a disk, a clock and one process, which
// may crash at any step, hang, and start again.
type Machine struct {
	scheduler *Scheduler
	trace     *Trace
	random    *rand.Rand

	Address Address
	Zone    structs.ZoneID
	Disk    *Disk
	Clock   *Clock

	service service
	alive   bool
	paused  bool
	// life counts the lives of the process, so that timers of an earlier one are dropped.
	life uint64
	// deferred holds what came while the process was paused.
	deferred []func()
	// fuse is how many steps are left until an armed crash; 0 means none is armed.
	fuse    int
	outage  time.Duration
	crashes int
}

// newMachine makes a machine that is off.
func newMachine(scheduler *Scheduler, trace *Trace, random *rand.Rand, address Address, zone structs.ZoneID) *Machine {
	return &Machine{
		scheduler: scheduler,
		trace:     trace,
		random:    random,
		Address:   address,
		Zone:      zone,
		Disk:      NewDisk(scheduler, random, syncDelay),
		Clock:     NewClock(scheduler),
	}
}

// Start starts the process from what is on the disk.
func (m *Machine) Start() {
	if m.alive {
		return
	}
	m.alive = true
	m.life++
	m.trace.Note("start", string(m.Address), "")
	m.service.start()
}

// Crash kills the process; unsynced writes are lost. The machine starts again
// after the outage.
func (m *Machine) Crash(outage time.Duration) {
	if !m.alive {
		return
	}
	m.alive = false
	m.paused = false
	m.deferred = nil
	m.fuse = 0
	m.crashes++
	lost := m.Disk.Crash()
	m.trace.Note("crash", string(m.Address), "lost writes: "+formatCount(lost))
	m.service.stopped()
	life := m.life
	m.scheduler.After(outage, func() {
		if m.life == life {
			m.Start()
		}
	})
}

// ArmCrash lets the process crash after so many further steps, or when limit has passed.
func (m *Machine) ArmCrash(steps int, limit, outage time.Duration) {
	m.fuse = max(steps, 1)
	m.outage = outage
	life := m.life
	m.scheduler.After(limit, func() {
		if m.life == life && m.fuse > 0 {
			m.Crash(outage)
		}
	})
}

// step marks a point at which the process can crash, and reports whether it did.
func (m *Machine) step() (crashed bool) {
	if m.fuse == 0 {
		return false
	}
	m.fuse--
	if m.fuse > 0 {
		return false
	}
	m.Crash(m.outage)
	return true
}

// Pause stops the process without ending it.
func (m *Machine) Pause() {
	if m.alive {
		m.paused = true
		m.trace.Note("pause", string(m.Address), "")
	}
}

// Resume lets a paused process go on; what came meanwhile is handled now.
func (m *Machine) Resume() {
	if !m.paused {
		return
	}
	m.paused = false
	m.trace.Note("resume", string(m.Address), "")
	deferred := m.deferred
	m.deferred = nil
	life := m.life
	for _, run := range deferred {
		if m.life != life || !m.alive {
			return
		}
		run()
	}
}

// after runs the function once the duration has passed by the machine's clock,
// unless the process has died by then.
func (m *Machine) after(duration time.Duration, run func()) {
	life := m.life
	m.scheduler.After(m.Clock.Virtual(duration), func() {
		if m.alive && m.life == life {
			m.execute(run)
		}
	})
}

// deliver hands a message to the process.
func (m *Machine) deliver(from Address, message any) {
	if !m.alive || m.paused && len(m.deferred) >= deferredLimit {
		return
	}
	m.execute(func() { m.service.receive(from, message) })
}

func (m *Machine) execute(run func()) {
	if m.paused {
		m.deferred = append(m.deferred, run)
		return
	}
	run()
}
