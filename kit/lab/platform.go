package lab

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Parameters of the emulated platform.
const (
	machineListLag   = time.Second
	engineReportLag  = 200 * time.Millisecond
	engineEventLag   = 500 * time.Millisecond
	engineEventLoss  = 0.05
	engineHostMemory = 64 * gibibyte
	engineDisk       = 512 * gibibyte
	// storeSpeed is the bandwidth of one read; the largest model of a site loads in
	// about 4 s.
	storeSpeed = 12 * gibibyte
)

// Runner is an emulated engine of a run.
type Runner struct {
	Machine      structs.Machine
	Role         structs.RunnerRole
	MemoryBytes  int64
	Accelerators int
	Server       *emulator.EngineServer
}

// Platform is the emulated environment of the daemons: engines, weight store and machine
// list, all in this process.
type Platform struct {
	Runners []*Runner
	Store   *emulator.StoreServer
	List    *emulator.MachineServer

	clock   *emulator.Clock
	client  *engineapi.Client
	servers []*http.Server
}

// platformAddresses assigns the listen addresses of the emulated services.
type platformAddresses interface {
	store() string
	machines() string
	// engine returns the address of the runner with the given index over all zones.
	engine(index int) string
}

// startPlatform starts the emulated services of the site on the plan's addresses.
func startPlatform(logger log.Logger, site Site, plan platformAddresses, seed uint64) (*Platform, error) {
	p := &Platform{clock: emulator.NewClock(1), client: engineapi.NewClient(engineapi.ClientOptions{})}
	p.Store = emulator.NewStoreServer(logger, emulator.NewStore(emulator.StoreOptions{
		LoadsPerSecond: site.StoreLoadsPerSecond,
		FullSpeed:      site.StoreConcurrent,
		BytesPerSecond: float64(storeSpeed),
		Random:         rand.New(rand.NewPCG(seed, 0)),
	}), p.clock)
	p.List = emulator.NewMachineServer(logger, emulator.NewMachineList(machineListLag), p.clock)
	if err := p.serve(plan.store(), p.Store); err != nil {
		return nil, err
	}
	if err := p.serve(plan.machines(), p.List); err != nil {
		return nil, err
	}
	for _, zone := range site.Zones {
		if err := p.startZone(logger, zone, plan, seed); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Platform) startZone(logger log.Logger, zone SiteZone, plan platformAddresses, seed uint64) error {
	for _, set := range zone.Runners {
		for i := range set.Count {
			id := structs.RunnerID(fmt.Sprintf("%s-%s-%d", zone.ID, set.Role, i))
			runner := &Runner{
				Machine:      structs.Machine{Runner: id, Zone: zone.ID, Address: plan.engine(len(p.Runners)), State: structs.MachineLive},
				Role:         set.Role,
				MemoryBytes:  set.MemoryBytes,
				Accelerators: set.Accelerators,
			}
			if err := p.startRunner(logger, runner, plan, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) startRunner(logger log.Logger, runner *Runner, plan platformAddresses, seed uint64) error {
	engine := emulator.NewEngine(emulator.EngineOptions{
		Runner:          runner.Machine.Runner,
		Zone:            runner.Machine.Zone,
		Address:         runner.Machine.Address,
		Role:            runner.Role,
		MemoryBytes:     runner.MemoryBytes,
		Accelerators:    runner.Accelerators,
		HostMemoryBytes: engineHostMemory,
		DiskBytes:       engineDisk,
		ReportLag:       engineReportLag,
		EventLag:        engineEventLag,
		EventLossRate:   engineEventLoss,
		Random:          rand.New(rand.NewPCG(seed, hashOf(string(runner.Machine.Runner)))),
	})
	runner.Server = emulator.NewEngineServer(logger, engine, p.clock)
	runner.Server.UseStore(p.client, plan.store())
	if err := p.serve(runner.Machine.Address, runner.Server); err != nil {
		return err
	}
	p.Runners = append(p.Runners, runner)
	p.List.Put(runner.Machine)
	return nil
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

func (p *Platform) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for an emulated service")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	p.servers = append(p.servers, server)
	// Serve always returns an error, which is expected after Close.
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Records returns a copy of each engine's records, by runner.
func (p *Platform) Records() map[structs.RunnerID]emulator.Records {
	records := make(map[structs.RunnerID]emulator.Records, len(p.Runners))
	for _, runner := range p.Runners {
		runner.Server.Engine(func(engine *emulator.Engine, _ time.Time) []emulator.EngineOutput {
			records[runner.Machine.Runner] = engine.Records().Clone()
			return nil
		})
	}
	return records
}

// Now returns the virtual time of the emulated services.
func (p *Platform) Now() time.Time { return p.clock.Now() }

func (p *Platform) close() {
	for _, server := range p.servers {
		// Closing interrupts open connections, which no longer matter.
		_ = server.Close()
	}
	for _, runner := range p.Runners {
		runner.Server.Close()
	}
	p.client.Close()
}

// setState changes the state of a runner's machine in the machine list.
func (p *Platform) setState(runner *Runner, state structs.MachineState) {
	machine := runner.Machine
	machine.State = state
	p.List.Put(machine)
}
