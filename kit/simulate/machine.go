package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// syncDelay is the duration of a sync on a healthy disk.
	syncDelay = 2 * time.Millisecond
	// deferredLimit bounds the messages queued for a paused process.
	deferredLimit = 4096
)

// service is the process on a machine.
type service interface {
	// start is called when the process starts, with the current disk.
	start()
	// receive handles one message.
	receive(from Address, message any)
	// stopped is called after the process has died.
	stopped()
}

// Machine is a simulated computer with a disk, a clock and one process, which may
// crash at any step, pause and restart.
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
	// life numbers the lifetimes of the process, so that timers of earlier ones are
	// dropped.
	life uint64
	// deferred holds the work that arrived while the process was paused.
	deferred []func()
	// stepsToCrash is the number of steps until an armed crash; 0 means that none is
	// armed.
	stepsToCrash int
	outage       time.Duration
	crashes      int
}

// newMachine returns a stopped machine.
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

// Start starts the process from the content of the disk.
func (m *Machine) Start() {
	if m.alive {
		return
	}
	m.alive = true
	m.life++
	m.trace.Note("start", string(m.Address), "")
	m.service.start()
}

// Crash kills the process and drops unsynced writes. The machine restarts after the
// outage.
func (m *Machine) Crash(outage time.Duration) {
	if !m.alive {
		return
	}
	m.alive = false
	m.paused = false
	m.deferred = nil
	m.stepsToCrash = 0
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

// ArmCrash makes the process crash after the given number of steps, or when limit
// has passed.
func (m *Machine) ArmCrash(steps int, limit, outage time.Duration) {
	m.stepsToCrash = max(steps, 1)
	m.outage = outage
	life := m.life
	m.scheduler.After(limit, func() {
		if m.life == life && m.stepsToCrash > 0 {
			m.Crash(outage)
		}
	})
}

// step marks a possible crash point and reports whether the process crashed.
func (m *Machine) step() (crashed bool) {
	if m.stepsToCrash == 0 {
		return false
	}
	m.stepsToCrash--
	if m.stepsToCrash > 0 {
		return false
	}
	m.Crash(m.outage)
	return true
}

// Pause suspends the process.
func (m *Machine) Pause() {
	if m.alive {
		m.paused = true
		m.trace.Note("pause", string(m.Address), "")
	}
}

// Resume continues a paused process, which first handles the deferred work.
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

// after runs the function once the duration has passed on the machine's clock,
// unless the process has died by then.
func (m *Machine) after(duration time.Duration, run func()) {
	life := m.life
	m.scheduler.After(m.Clock.Virtual(duration), func() {
		if m.alive && m.life == life {
			m.execute(run)
		}
	})
}

// deliver passes a message to the process.
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
