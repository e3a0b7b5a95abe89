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
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// followPause is the pause after a watch that failed.
	followPause = 100 * time.Millisecond
	// followTimeout bounds the search for a leader; then the addresses are looked up
	// again.
	followTimeout = 2500 * time.Millisecond
	// watchMargin is how much longer than the leader holds it a watch may take.
	watchMargin = 600 * time.Millisecond
	// reportInterval is the pause between two reports without a reason to hurry, and
	// reportPause the shortest.
	reportInterval = 250 * time.Millisecond
	reportPause    = 10 * time.Millisecond
	// wordAge is how old what the leader says of the loads of runners is on average when it
	// comes: half of the pause between two reports of a router, half of that between two
	// plans of the leader, which sum them up, and the ways.
	wordAge = reportInterval/2 + 75*time.Millisecond
)

// watchLoop follows the leader's view.
func (r *Router) watchLoop(ctx context.Context) {
	hold := domainapi.LeastHold
	caller := leadercall.New(r.client, nil).WithTryTimeout(hold + watchMargin)
	arguments := domainapi.WatchArguments{Router: r.options.Name, MaxHold: domainapi.MostHold}
	var controllers []string
	isConnected := false
	for ctx.Err() == nil {
		// Members of the group come first, then seeds.
		addresses := leadercall.Unique(controllers, r.options.Seeds())
		caller.SetAddresses(addresses)
		r.caller.SetAddresses(addresses)
		arguments.Version = r.version()
		asked := r.now()
		reply, err := r.watch(ctx, caller, arguments)
		if err != nil {
			if isConnected && ctx.Err() == nil {
				level.Warn(r.logger).Log("msg", "The leader of the controllers is lost.", "term", arguments.Term, "err", err)
			}
			isConnected = false
			pause.For(ctx, followPause)
			continue
		}
		if !isConnected || reply.Term != arguments.Term {
			level.Info(r.logger).Log("msg", "A leader of the controllers is followed.", "term", reply.Term, "routers", reply.Routers)
		}
		isConnected = true
		if len(reply.Controllers) > 0 {
			controllers = reply.Controllers
		}
		r.adopt(reply, &arguments, asked)
		if held := holdOf(reply); held != hold {
			hold = held
			caller = leadercall.New(r.client, addresses).WithTryTimeout(hold + watchMargin)
		}
	}
}

// holdOf is how long the leader holds the next watch.
func holdOf(reply *domainapi.WatchReply) time.Duration {
	return min(max(reply.Hold, domainapi.LeastHold), domainapi.MostHold)
}

func (r *Router) watch(ctx context.Context, caller *leadercall.Caller, arguments domainapi.WatchArguments) (*domainapi.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return leadercall.Call(ctx, caller, domainapi.MethodWatch, arguments,
		func() *domainapi.WatchReply { return &domainapi.WatchReply{} })
}

// adopt takes the news of a watch that was asked for at a time. A reply of an earlier term than one before comes
// from a leader that was deposed, and is passed over.
func (r *Router) adopt(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments, asked time.Time) {
	if reply.Term < arguments.Term {
		return
	}
	r.mutex.Lock()
	r.granted = grant{routers: reply.Routers, at: r.now()}
	r.leaderHold = holdOf(reply)
	r.queue.SetShares(r.now(), reply.Shares)
	if reply.Term != arguments.Term {
		// Before its view, which may know of no limit yet.
		r.runnerLimits.belief.TellAnew()
		r.notices.book.TellAnew()
		r.wakeReport()
	}
	r.mutex.Unlock()
	r.limits.mutex.Lock()
	r.limits.limiter.SetRouters(reply.Routers)
	r.limits.mutex.Unlock()
	r.metrics.heardLeader(reply.Term, time.Now())
	if reply.Document != nil {
		r.takeDocument(*reply.Document)
	}
	if reply.Confirmed != 0 && reply.Confirmed == r.version() {
		r.confirm(asked)
	}
	if reply.View != nil && !r.takeView(reply) {
		return
	}
	r.takeLoads(reply.Loads)
	r.takeSuspects(reply, arguments)
	arguments.Term = reply.Term
	arguments.Revision = reply.Revision
}

// takeView adopts the view of a reply, or reports false if it cannot be read; then it is
// asked for again.
func (r *Router) takeView(reply *domainapi.WatchReply) bool {
	view, err := reply.View.Decode()
	if err != nil {
		level.Error(r.logger).Log("msg", "A view of the runners cannot be decoded.", "term", reply.Term, "err", err)
		return false
	}
	r.adoptView(view)
	level.Debug(r.logger).Log("msg", "A view of the runners was adopted.", "term", reply.Term,
		"revision", reply.Revision, "runners", len(view.Runners), "complete", view.Complete)
	return true
}

// takeSuspects adopts the list of requests that may crash runners. A new leader is told of the losses
// that the one before may have learned of too late.
func (r *Router) takeSuspects(reply *domainapi.WatchReply, arguments *domainapi.WatchArguments) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reply.Term != arguments.Term {
		r.suspects.reportAnew(r.now())
		arguments.Suspects = 0
	}
	if reply.Suspects == nil {
		return
	}
	r.suspects.adopt(r.now(), reply.Suspects)
	arguments.Suspects = reply.Suspects.Revision
}

// takeLoads adopts what all routers together have at the runners. Runners that are not listed have
// less to do than those that are.
func (r *Router) takeLoads(loads []fleet.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := time.Now().Add(-wordAge)
	listed := make(map[string]fleet.Load, len(loads))
	for _, load := range loads {
		if _, isPlaced := r.placed.runners[load.Instance]; isPlaced {
			listed[load.Instance] = load
		}
	}
	for instance := range r.placed.runners {
		load := listed[instance]
		id := structs.RunnerID(instance)
		r.balancer.ObserveLoad(id, structs.LoadReport{Running: load.Requests, ObservedAt: at})
		r.balancer.ObserveReading(id, load.Reading)
	}
	r.metrics.heardLoads(at)
}

func (r *Router) takeDocument(packed domain.Document) {
	source, err := domain.Expand(packed.Source)
	if err != nil {
		level.Error(r.logger).Log("msg", "A document cannot be expanded.", "version", packed.Version, "err", err)
		return
	}
	document, err := r.options.Decoder(source)
	if err != nil {
		level.Error(r.logger).Log("msg", "A document cannot be decoded.", "version", packed.Version, "err", err)
		return
	}
	if r.adoptDocument(document) {
		level.Info(r.logger).Log("msg", "A document is in force.", "version", document.Version, "routes", len(document.Routes))
	}
}

// wakeReport asks for a report soon.
func (r *Router) wakeReport() {
	wake.Up(r.report)
}

// noteWork ends the rest of a report loop that has nothing to report.
func (r *Router) noteWork() {
	wake.Up(r.hasWork)
}

// reportLoop reports demand to the leader, every reportInterval while there is any.
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
				pause.For(ctx, reportPause)
			}
		} else {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-r.report:
				pause.For(ctx, reportPause)
			}
		}
		isIdle = !r.reportDemand(ctx)
	}
}

// reportDemand reports what there is, and returns false if there is nothing.
func (r *Router) reportDemand(ctx context.Context) bool {
	demands := r.takeDemands(r.now())
	doubted, unreachable := r.takeNames(r.doubted), r.takeNames(r.unreachable)
	paces, attempts := r.takePaces(), r.takeAttempts()
	r.mutex.Lock()
	losses, endings := r.suspects.take()
	works := r.queue.TakeWork()
	limits, said := r.runnerLimits.belief.News(), r.notices.book.News(r.now())
	r.mutex.Unlock()
	isIdle := len(demands) == 0 && len(doubted) == 0 && len(unreachable) == 0 && len(paces) == 0 && len(attempts) == 0 &&
		len(losses) == 0 && len(endings) == 0 && len(works) == 0 && len(limits.Reports) == 0 && len(said.Reports) == 0
	if isIdle {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	arguments := domainapi.DemandArguments{
		Router: r.options.Name, Zone: string(r.options.Zone), Demands: demands, Doubted: doubted, Unreachable: unreachable,
		Paces: paces, Attempts: attempts, Losses: losses, Endings: endings, Works: works, Limits: limits.Reports, Notices: said.Reports,
	}
	reply, err := leadercall.Call(ctx, r.caller, domainapi.MethodDemand, arguments,
		func() *domainapi.DemandReply { return &domainapi.DemandReply{} })
	if err != nil {
		r.mutex.Lock()
		r.suspects.giveBack(losses, endings)
		r.mutex.Unlock()
		if ctx.Err() == nil {
			level.Debug(r.logger).Log("msg", "Demand was not reported.", "err", err)
		}
		return true
	}
	r.mutex.Lock()
	r.runnerLimits.belief.Told(limits)
	r.notices.book.Told(said)
	r.mutex.Unlock()
	r.adoptForecasts(reply.Forecasts)
	return true
}

// takeNames hands out the names of a set and empties it.
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
