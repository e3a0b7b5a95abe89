package lab

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// PlatformOptions configure the emulated services of a site whose daemons run elsewhere.
type PlatformOptions struct {
	Zones []structs.ZoneID
	// MachineList is the listen address of the machine list (IP:port, on a loopback
	// address). The weight store uses the next port and the engines the following ones.
	MachineList string
	// RunnersPerZone is the number of identical runners in each zone.
	RunnersPerZone int
	Role           structs.RunnerRole
	MemoryBytes    int64
	Seed           uint64
}

// portPlan assigns consecutive ports from that of the machine list.
type portPlan struct{ first netip.AddrPort }

func (p portPlan) at(offset int) string {
	return netip.AddrPortFrom(p.first.Addr(), p.first.Port()+uint16(offset)).String()
}

func (p portPlan) machines() string        { return p.at(0) }
func (p portPlan) store() string           { return p.at(1) }
func (p portPlan) engine(index int) string { return p.at(2 + index) }

// newPortPlan checks that the address is a loopback address with enough ports above it.
func newPortPlan(options PlatformOptions) (portPlan, error) {
	first, err := netip.ParseAddrPort(options.MachineList)
	if err != nil || !first.Addr().IsLoopback() {
		return portPlan{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("the machine list's address %q is no loopback address with a port", options.MachineList),
			"Set site.machine_list to a loopback address such as http://127.0.0.1:8700: the emulated services are for rehearsals only.")
	}
	last := int(first.Port()) + 1 + options.RunnersPerZone*len(options.Zones)
	if options.RunnersPerZone < 1 || last > 1<<16-1 {
		return portPlan{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("%d runners for each of %d zones have no ports from %d on", options.RunnersPerZone, len(options.Zones), first.Port()),
			"Use at least one runner per zone and leave a port for each above that of the machine list.")
	}
	return portPlan{first: first}, nil
}

// ServePlatform runs the emulated services until ctx ends. It writes their addresses to
// progress.
func ServePlatform(ctx context.Context, logger log.Logger, options PlatformOptions, progress io.Writer) error {
	plan, err := newPortPlan(options)
	if err != nil {
		return err
	}
	site := DemoSite()
	site.Zones = nil
	for _, zone := range options.Zones {
		set := RunnerSet{Role: options.Role, Count: options.RunnersPerZone, MemoryBytes: options.MemoryBytes, Accelerators: runnerAccelerators}
		site.Zones = append(site.Zones, SiteZone{ID: zone, Runners: []RunnerSet{set}})
	}
	platform, err := startPlatform(logger, site, plan, options.Seed)
	if err != nil {
		return errors.Wrap(err, "start the emulated services")
	}
	defer platform.close()
	fmt.Fprintf(progress, "machine list http://%s, weight store http://%s\n", plan.machines(), plan.store())
	for _, runner := range platform.Runners {
		fmt.Fprintf(progress, "runner %s at %s, %d GiB\n", runner.Machine.Runner, runner.Machine.Address, runner.MemoryBytes/gibibyte)
	}
	<-ctx.Done()
	return nil
}
