package hollow

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxBatch is how many requests a runner decodes at once.
	maxBatch = 64
	// engineReportLag is the interval at which engines renew their reports.
	engineReportLag = 250 * time.Millisecond
	// storeBytesPerSecond is the speed of one read of the weight store.
	storeBytesPerSecond = 8 << 30
	// hostMemoryBytes and diskBytes are a runner's checkpoint caches.
	hostMemoryBytes = 512 << 30
	diskBytes       = 4 << 40
)

// engineCall is one attempt under way on an engine.
type engineCall struct {
	router  *routerNode
	life    int
	attempt router.AttemptID
}

// runnerNode is one runner: a real engine core in virtual time.
type runnerNode struct {
	id     structs.RunnerID
	home   *zoneSite
	engine *emulator.Engine
	calls  map[emulator.CallID]engineCall
	last   emulator.CallID
	// armed is when the engine's next event is scheduled; 0 means never.
	armed int64
	// tracker keeps what the engine's records say of its replicas.
	tracker replicaTracker
}

func (z *zoneSite) addRunner(index int) {
	options := z.site.options
	added := &runnerNode{
		id:    structs.RunnerID(fmt.Sprintf("runner-%05d", index)),
		home:  z,
		calls: map[emulator.CallID]engineCall{},
	}
	added.engine = emulator.NewEngine(emulator.EngineOptions{
		Runner:          added.id,
		Zone:            z.id,
		Address:         fmt.Sprintf("127.%d.%d.%d:7000", index>>16, index>>8&0xff, index&0xff),
		Role:            answersRole,
		MemoryBytes:     int64(options.AcceleratorsPerRunner) * acceleratorBytes,
		Accelerators:    options.AcceleratorsPerRunner,
		MaxBatch:        maxBatch,
		HostMemoryBytes: hostMemoryBytes,
		DiskBytes:       diskBytes,
		ReportLag:       engineReportLag,
		Random:          rand.New(rand.NewPCG(options.Seed, uint64(index))),
		FetchTime: func(_ structs.RowName, size int64) (time.Duration, bool) {
			return time.Duration(float64(size) / storeBytesPerSecond * float64(time.Second)), true
		},
	})
	z.runners = append(z.runners, added)
	z.byID[added.id] = added
}

// step hands an input to the engine and passes on what came of it.
func (n *runnerNode) step(input emulator.EngineInput) []emulator.EngineOutput {
	var outputs []emulator.EngineOutput
	n.home.cost.sample(partEngine, func() { outputs = n.engine.Step(n.home.time(), input) })
	n.dispatch(outputs)
	n.arm()
	return outputs
}

// arm schedules the engine's next event.
func (n *runnerNode) arm() {
	next, some := n.engine.NextEvent()
	if !some || n.engine.Dead() {
		return
	}
	when := int64(next.Sub(epochStart))
	if n.armed > 0 && n.armed <= when {
		return
	}
	n.armed = when
	n.home.at(when, func() {
		if n.armed != when {
			return
		}
		n.armed = 0
		var outputs []emulator.EngineOutput
		n.home.cost.sample(partEngine, func() { outputs = n.engine.Advance(n.home.time()) })
		n.dispatch(outputs)
		n.arm()
	})
}

// dispatch carries the outputs that belong to routers over the network.
func (n *runnerNode) dispatch(outputs []emulator.EngineOutput) {
	if len(outputs) == 0 {
		return
	}
	for _, output := range outputs {
		if output.Kind == emulator.OutputDied {
			n.cutCalls()
		}
	}
	n.home.after(delayInZone, func() {
		for i := range outputs {
			n.deliver(&outputs[i])
		}
	})
}

func (n *runnerNode) deliver(output *emulator.EngineOutput) {
	call, known := n.calls[output.Call]
	if !known || !call.router.owner.alive || call.router.owner.life != call.life {
		return
	}
	switch output.Kind {
	case emulator.OutputAccepted:
		call.router.step(router.AttemptStarted{Attempt: call.attempt})
		call.router.step(router.LoadObserved{Runner: n.id, Report: *output.Load})
	case emulator.OutputToken:
		call.router.takeToken(call.attempt, output.Token)
		if output.Token.Finish != "" {
			n.forget(output.Call)
			if output.Load != nil {
				call.router.step(router.LoadObserved{Runner: n.id, Report: *output.Load})
			}
		}
	case emulator.OutputRefused:
		n.forget(output.Call)
		refusal := output.Refusal.Error
		call.router.step(router.AttemptFailed{Attempt: call.attempt, Stage: router.RefusedByEngine, Error: &refusal})
	case emulator.OutputReset:
		n.forget(output.Call)
		call.router.step(router.AttemptFailed{Attempt: call.attempt, Stage: router.Broken, Error: brokenError()})
	}
}

func (n *runnerNode) forget(id emulator.CallID) {
	call := n.calls[id]
	delete(n.calls, id)
	delete(call.router.attempts, call.attempt)
}

// disconnect ends the calls of a router that died, in their order.
func (n *runnerNode) disconnect(gone *routerNode) {
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		if n.calls[id].router == gone {
			delete(n.calls, id)
			n.step(emulator.EngineInput{Kind: emulator.InputDisconnect, Call: id})
		}
	}
}

func brokenError() *structs.Error {
	return structs.NewError(structs.ErrorUnavailable, "the connection to the engine broke", "Send it again.")
}

// cutCalls breaks all connections of a dead engine, in the order of the calls.
func (n *runnerNode) cutCalls() {
	n.armed = 0
	broken := slices.Sorted(maps.Keys(n.calls))
	n.home.after(delayInZone, func() {
		for _, id := range broken {
			n.deliver(&emulator.EngineOutput{Kind: emulator.OutputReset, Call: id})
		}
	})
}

// generate starts an attempt that a router sent. A dead runner refuses the
// connection.
func (n *runnerNode) generate(from *routerNode, life int, send router.SendAttempt) {
	if n.engine.Dead() {
		n.home.after(delayInZone, func() { from.refused(life, send.Attempt) })
		return
	}
	n.last++
	n.calls[n.last] = engineCall{router: from, life: life, attempt: send.Attempt}
	n.step(emulator.EngineInput{Kind: emulator.InputGenerate, Call: n.last, Generate: send.Generate})
}

// order hands a fenced order to the engine; false means that it is dead.
func (n *runnerNode) order(order structs.Order) (structs.OrderReply, bool) {
	for _, output := range n.step(emulator.EngineInput{Kind: emulator.InputOrder, Order: order}) {
		if output.Kind == emulator.OutputOrder {
			return *output.Order, true
		}
	}
	return structs.OrderReply{}, false
}

// report reads the engine's report; false means that it is dead.
func (n *runnerNode) report() (structs.EngineReport, bool) {
	for _, output := range n.step(emulator.EngineInput{Kind: emulator.InputReport}) {
		if output.Kind == emulator.OutputReport {
			return *output.Report, true
		}
	}
	return structs.EngineReport{}, false
}

// crash kills the engine.
func (n *runnerNode) crash() {
	n.tracker.read(n)
	n.step(emulator.EngineInput{Kind: emulator.InputCrash})
	n.tracker.clear(n.home.time())
}

// restart begins the engine's next life.
func (n *runnerNode) restart() {
	if !n.engine.Dead() {
		n.crash()
	}
	n.engine.Restart(n.home.time(), n.engine.Incarnation()+1)
	n.arm()
}

// machine is the runner as the platform's list names it.
func (n *runnerNode) machine(state structs.MachineState) structs.Machine {
	return structs.Machine{Runner: n.id, Zone: n.home.id, Address: n.engine.Options().Address, State: state}
}
