package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// FleetOptions configure a fleet.
type FleetOptions struct {
	Site Site
	// Folder is the parent of the daemons' folders.
	Folder string
	// Command starts a daemon; "--config FILE" is appended.
	Command []string
	Seed    uint64
}

// Fleet is a complete site on the local machine: daemons as processes, and the emulated
// platform in this process.
type Fleet struct {
	Site      Site
	Daemons   []*Process
	Platform  *Platform
	Operators *operatorapi.Client
	Folder    string
}

// StartFleet starts a site and waits until every daemon is ready.
func StartFleet(ctx context.Context, logger log.Logger, options FleetOptions) (*Fleet, error) {
	plan := newAddressPlan()
	platform, err := startPlatform(logger, options.Site, plan, options.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Site: options.Site, Platform: platform, Folder: options.Folder}
	if err := f.startDaemons(plan, options); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startDaemons(plan addressPlan, options FleetOptions) error {
	var operators []string
	for _, settings := range daemonSettings(options.Site, plan) {
		process, err := newProcess(options.Command, options.Folder, settings)
		if err != nil {
			return err
		}
		if err := process.Start(); err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, process)
		operators = append(operators, settings.Listen.Operators)
	}
	f.Operators = operatorapi.NewClient(operatorapi.ClientOptions{Addresses: operators})
	return nil
}

// daemonSettings returns the settings of all daemons. Each daemon is a router and a
// controller. The first controller of each zone is a global voter; if their number is
// even, the second one of the first zone is a voter too.
func daemonSettings(site Site, plan addressPlan) []config.Config {
	shared := config.Site{
		Name:            site.Name,
		Objective:       site.Objective,
		MachineList:     "http://" + plan.machines(),
		StoreConcurrent: site.StoreConcurrent,
	}
	index := 0
	for _, zone := range site.Zones {
		settings := config.Zone{ID: zone.ID, Weight: 100}
		for range zone.Daemons {
			settings.Controllers = append(settings.Controllers, config.Member{
				Daemon:  daemonID(zone.ID, len(settings.Controllers)),
				Address: plan.daemon(index, internalPort),
			})
			settings.Routers = append(settings.Routers, plan.daemon(index, callersPort))
			index++
		}
		shared.Zones = append(shared.Zones, settings)
		shared.GlobalVoters = append(shared.GlobalVoters, settings.Controllers[0])
	}
	if len(shared.GlobalVoters)%2 == 0 {
		shared.GlobalVoters = append(shared.GlobalVoters, shared.Zones[0].Controllers[1])
	}
	return settingsOf(shared, plan)
}

func settingsOf(shared config.Site, plan addressPlan) []config.Config {
	var all []config.Config
	for _, zone := range shared.Zones {
		for _, member := range zone.Controllers {
			settings := config.Default()
			settings.Daemon = member.Daemon
			settings.Zone = zone.ID
			settings.Development = true
			settings.Bootstrap = true
			settings.Site = shared
			settings.Listen = config.Listen{
				Callers:   plan.daemon(len(all), callersPort),
				Operators: plan.daemon(len(all), operatorsPort),
				Internal:  plan.daemon(len(all), internalPort),
			}
			all = append(all, settings)
		}
	}
	return all
}

func daemonID(zone structs.ZoneID, index int) structs.DaemonID {
	return structs.DaemonID(fmt.Sprintf("%s-%d", zone, index))
}

// readyPollInterval is the interval between readiness polls.
const readyPollInterval = 50 * time.Millisecond

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, daemon := range f.Daemons {
		if err := f.awaitDaemon(ctx, daemon); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitDaemon(ctx context.Context, daemon *Process) error {
	for {
		if isReady(ctx, daemon) {
			return nil
		}
		select {
		case <-ctx.Done():
			return daemonError(structs.ErrorDeadline, daemon, "is not ready")
		case <-daemon.ended:
			return daemonError(structs.ErrorInternal, daemon, "ended")
		case <-time.After(readyPollInterval):
		}
	}
}

func daemonError(kind structs.ErrorKind, daemon *Process, problem string) error {
	return structs.NewError(kind, fmt.Sprintf("daemon %s %s", daemon.ID, problem), "Check log.txt in "+daemon.folder+".")
}

func isReady(ctx context.Context, daemon *Process) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.Settings.Listen.Operators+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopTimeout limits the planned stop of a daemon at the end of a run.
const stopTimeout = 10 * time.Second

// Stop stops the daemons and the platform.
func (f *Fleet) Stop() {
	done := make(chan struct{}, len(f.Daemons))
	for _, daemon := range f.Daemons {
		go func() {
			daemon.Terminate(stopTimeout)
			done <- struct{}{}
		}()
	}
	for range f.Daemons {
		<-done
	}
	if f.Operators != nil {
		f.Operators.Close()
	}
	f.Platform.close()
}

// RemoveFolder deletes the folder of the run with the daemons' data and logs.
func (f *Fleet) RemoveFolder() error {
	return errors.Wrap(os.RemoveAll(f.Folder), "remove the run's folder")
}
