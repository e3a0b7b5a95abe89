package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// restartTimeout limits the wait for a restarted site to be ready.
const restartTimeout = 30 * time.Second

// loseTwoDisks replaces the disk of a daemon and, once the daemon votes again, that of
// another daemon in its zone.
func (r *faultRun) loseTwoDisks(ctx context.Context) string {
	first := r.anyDaemon()
	name := r.replaceDiskOf(ctx, first)
	fellows := r.zonePeers(first)
	if ctx.Err() != nil || len(fellows) == 0 {
		return name
	}
	second := fellows[r.random.IntN(len(fellows))]
	return fmt.Sprintf("%s, then %s", name, r.replaceDiskOf(ctx, second))
}

// zonePeers returns the other daemons in the daemon's zone.
func (r *faultRun) zonePeers(target *Process) []*Process {
	var fellows []*Process
	for _, other := range r.fleet.Daemons {
		if other != target && other.Zone == target.Zone {
			fellows = append(fellows, other)
		}
	}
	return fellows
}

// restartSite kills all daemons and engines at once and restarts them.
func (r *faultRun) restartSite(ctx context.Context) string {
	from := time.Now()
	for _, process := range r.fleet.Daemons {
		process.Kill()
	}
	for _, runner := range r.fleet.Platform.Runners {
		runner.Server.Crash()
	}
	pause.For(ctx, downTime)
	name := "all daemons and engines"
	for _, process := range r.fleet.Daemons {
		if err := process.Start(); err != nil {
			name = r.notRestarted(process, err)
		}
	}
	for _, runner := range r.fleet.Platform.Runners {
		runner.restartIfCrashed()
	}
	ready, cancel := context.WithTimeout(r.sending, restartTimeout)
	defer cancel()
	if err := r.fleet.awaitReady(ready); err != nil {
		name += " (not ready in time: " + err.Error() + ")"
	}
	for _, process := range r.fleet.Daemons {
		r.addOutage(process.ID, from)
	}
	for _, zone := range r.fleet.Site.Zones {
		r.cuts = append(r.cuts, zoneOutage{zone.ID, from, time.Now()})
	}
	return name
}
