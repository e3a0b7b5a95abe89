package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

const (
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 100 * time.Millisecond
	// watchTimeout bounds the search for a leader. Afterwards the addresses are looked up again.
	watchTimeout = 2500 * time.Millisecond
	// watchMargin is added to the leader's hold time for the timeout of a watch.
	watchMargin = 600 * time.Millisecond
	// reportInterval is the interval between regular reports, minReportInterval the minimum between
	// triggered ones.
	reportInterval    = 250 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
)

// adopt applies a reply to the watch sent at asked. A reply of an earlier term comes from a deposed
// leader and is ignored.
func (r *Router) adopt(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, asked time.Time) {
	if reply.Term < arguments.Term {
		return
	}
	r.mutex.Lock()
	heardBefore := r.routerCount.at
	r.observeRouterCount(r.now().Add(-leaderSilenceOf(reply)), reply.Routers)
	routers := r.routerCount.routers
	// A relay may answer with what it had asked before the router did.
	r.adoptVersions(asked.Add(-reply.ConfirmedBefore), reply.MixedVersions, reply.OnlyVersions)
	r.leaderHold = holdOf(reply)
	r.copies.leaderRates, r.copies.leaderRatesAt = reply.StreamLosses, r.now()
	r.queue.SetShares(r.now(), reply.Shares)
	if reply.Term != arguments.Term {
		// A new leader may know none of the limits and notices yet, so all are sent again.
		r.runnerLimits.belief.ResendAll()
		r.brittle.ResendAll()
		r.reportSlotsAgain()
		r.notices.book.ResendAll()
		r.announceAgain()
		r.wakeReport()
	} else if r.routerCount.at.Sub(heardBefore) >= announceInterval {
		// The leader may have forgotten this router meanwhile.
		r.announceAgain()
	}
	r.mutex.Unlock()
	r.limits.mutex.Lock()
	r.limits.limiter.SetRouters(routers)
	r.limits.mutex.Unlock()
	r.metrics.heardLeader(reply.Term, time.Now())
	if reply.Document != nil {
		r.takeDocument(*reply.Document)
	}
	if reply.Confirmed != 0 && reply.Confirmed == r.version() {
		r.confirm(asked.Add(-reply.ConfirmedBefore))
	}
	if reply.View != nil && !r.takeView(reply) {
		return
	}
	r.adoptLoads(reply)
	if reply.Peers != nil {
		r.adoptPeers(reply.Peers)
		arguments.Peers = reply.Peers.Version
	}
	r.takeSuspects(reply, arguments)
	arguments.Term = reply.Term
	arguments.Revision = reply.Revision
}

// leaderSilenceOf returns for how long a relay has not heard of the leader beyond what is usual, so
// that a zone that is cut off together with its relay is noticed.
func leaderSilenceOf(reply *domainapi.WatchReply) time.Duration {
	return max(0, reply.Age-domainapi.RelayHold)
}

// takeView applies the view of a reply. It returns false if the view cannot be decoded; it is then
// requested again.
func (r *Router) takeView(reply *domainapi.WatchReply) bool {
	view, err := reply.View.Decode()
	if err != nil {
		level.Error(r.logger).Log("msg", "The view of the runners could not be decoded.", "term", reply.Term, "err", err)
		return false
	}
	r.adoptView(view)
	level.Debug(r.logger).Log("msg", "A view of the runners was adopted.", "term", reply.Term,
		"revision", reply.Revision, "runners", len(view.Runners), "complete", view.Complete)
	return true
}

// takeSuspects applies the list of requests that may crash runners. Losses are reported again to a
// new leader, since its predecessor may not have stored them.
func (r *Router) takeSuspects(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reply.Term != arguments.Term {
		r.suspects.reportAgain(r.now())
		arguments.Suspects = 0
	}
	if reply.Suspects == nil {
		return
	}
	r.suspects.adopt(r.now(), reply.Suspects)
	arguments.Suspects = reply.Suspects.Revision
}

// takeLoads applies loads that have just arrived and that a relay has had for the given time. Their
// age matters only for load balancing, which uses the monotonic clock.
func (r *Router) takeLoads(loads []fleet.Load, relayedFor time.Duration) {
	r.setLoads(loads, time.Now().Add(-loadAge-relayedFor))
}

func (r *Router) takeDocument(packed domain.Document) {
	source, err := domain.Expand(packed.Source)
	if err != nil {
		level.Error(r.logger).Log("msg", "The document could not be decompressed.", "version", packed.Version, "err", err)
		return
	}
	document, err := r.options.Decoder(source)
	if err != nil {
		level.Error(r.logger).Log("msg", "The document could not be decoded.", "version", packed.Version, "err", err)
		return
	}
	if r.adoptDocument(document) {
		level.Info(r.logger).Log("msg", "A document is in force.", "version", document.Version, "routes", len(document.Routes))
	}
}

// wakeReport triggers a report.
func (r *Router) wakeReport() {
	wake.Up(r.report)
}

// noteWork wakes an idle report loop.
func (r *Router) noteWork() {
	wake.Up(r.hasWork)
}

// reportLoop reports demand to the leader every reportInterval while there is any.
func (r *Router) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	isIdle := false
	for ctx.Err() == nil {
		if isIdle {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-r.hasWork:
				ticker.Reset(reportInterval)
				isIdle = false
				continue
			case <-r.report:
				ticker.Reset(reportInterval)
				pause.For(ctx, minReportInterval)
			}
		} else {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-r.report:
				pause.For(ctx, minReportInterval)
			}
		}
		isIdle = !r.reportDemand(ctx)
	}
}

// reportDemand sends one report. It returns false if there is nothing to report.
func (r *Router) reportDemand(ctx context.Context) bool {
	demands := r.takeDemands(r.now())
	doubted, unreachable := r.takeNames(r.notHeld), r.takeNames(r.unreachable)
	paces, attempts := r.takePaces(), r.takeAttempts()
	r.mutex.Lock()
	losses, endings := r.suspects.take()
	works, streams := r.queue.TakeWork(), r.copies.takeCounts(r.now())
	limits, brittle, said := r.runnerLimits.belief.Pending(), r.brittle.Pending(), r.notices.book.Pending(r.now())
	announced := r.takeAnnouncement(r.now())
	r.mutex.Unlock()
	isIdle := len(demands) == 0 && len(doubted) == 0 && len(unreachable) == 0 && len(paces) == 0 && len(attempts) == 0 &&
		len(losses) == 0 && len(endings) == 0 && len(works) == 0 && len(streams) == 0 && len(limits.Reports) == 0 && len(brittle.Reports) == 0 && len(said.Reports) == 0 && !announced.isUrgent
	if isIdle {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	arguments := domainapi.DemandArguments{
		Router: r.options.Name, Zone: string(r.options.Zone), Tunnel: announced.address, IsCutOff: announced.isCutOff, Demands: demands, Doubted: doubted, Unreachable: unreachable,
		Paces: paces, Attempts: attempts, Losses: losses, Endings: endings, Works: works, Streams: streams, Limits: limits.Reports, Brittle: brittle.Reports, Notices: said.Reports,
	}
	reply, err := leadercall.Call(ctx, r.caller, domainapi.MethodDemand, arguments,
		func() *domainapi.DemandReply { return &domainapi.DemandReply{} })
	if err != nil {
		r.mutex.Lock()
		r.suspects.requeue(losses, endings)
		r.announceAgain()
		r.mutex.Unlock()
		if ctx.Err() == nil {
			level.Debug(r.logger).Log("msg", "The demand report to the leader failed.", "err", err)
		}
		return true
	}
	r.mutex.Lock()
	r.runnerLimits.belief.Acknowledge(limits)
	r.brittle.Acknowledge(brittle)
	r.notices.book.Acknowledge(said)
	r.mutex.Unlock()
	r.adoptForecasts(reply.Forecasts)
	return true
}

// takeNames returns the names of a set and empties it.
func (r *Router) takeNames(set map[string]bool) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name := range set {
		names = append(names, name)
	}
	clear(set)
	return names
}
