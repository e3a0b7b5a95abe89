package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

// follower is the state of the watch loop.
type follower struct {
	router    *Router
	arguments domainapi.WatchArguments
	// hold and relayHold are how long the leader and a relay hold the next watch.
	hold, relayHold time.Duration
	// caller calls the leader with the timeout of a watch. It shares the router's search for it.
	caller      *leadercall.Caller
	controllers []string
	isConnected bool
	choice      *controllerChoice
	// followed is the relay that answered last; empty for the leader.
	followed string
}

// watchLoop keeps a watch on the leader's view, directly or through a relay, until ctx ends.
func (r *Router) watchLoop(ctx context.Context) {
	f := &follower{
		router: r, hold: domainapi.MinHold, relayHold: domainapi.MinHold,
		arguments: domainapi.WatchArguments{Router: r.options.Name, MaxHold: domainapi.MaxHold, TakesPackedLoads: true, Peers: r.initialPeers()},
		caller:    r.caller.WithTryTimeout(domainapi.MinHold + watchMargin),
		choice:    newControllerChoice(r.options.Name, r.options.Zone, r.options.Regions),
	}
	for ctx.Err() == nil {
		// Members of the group are listed before seeds.
		r.caller.SetAddresses(leadercall.Unique(f.controllers, r.options.Seeds()))
		r.setRegistrars(leadercall.Unique(f.controllers, r.options.Seeds()))
		f.arguments.Version = r.version()
		f.arguments.Relays = f.choice.version()
		f.arguments.Controllers = domainapi.HashAddresses(f.controllers)
		f.arguments.LoadsAge = r.loadsAge(r.now())
		if address, near := f.choice.next(r.now()); address != "" {
			f.watchRelay(ctx, address, near)
		} else {
			f.watchLeader(ctx)
		}
	}
}

// watchLeader finds the leader and sends it a watch.
func (f *follower) watchLeader(ctx context.Context) {
	r := f.router
	reply, asked, err := f.callLeader(ctx)
	if err != nil {
		if f.isConnected && ctx.Err() == nil {
			level.Warn(r.logger).Log("msg", "The leader of the controllers is lost.", "term", f.arguments.Term, "err", err)
		}
		f.isConnected = false
		pause.For(ctx, watchRetryDelay)
		return
	}
	f.adopt(reply, asked, "", nearLeader)
	if held := holdOf(reply); held != f.hold {
		f.hold = held
		f.caller = r.caller.WithTryTimeout(held + watchMargin)
	}
}

// callLeader returns the leader's reply and when it was asked, after the search for it.
func (f *follower) callLeader(ctx context.Context) (reply *domainapi.WatchReply, asked time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	reply, err = leadercall.Call(ctx, f.caller, domainapi.MethodWatch, f.arguments, func() *domainapi.WatchReply {
		asked = f.router.now()
		return &domainapi.WatchReply{}
	})
	return reply, asked, err
}

// errBehind means that a relay answered with an older state than the router's.
var errBehind = errors.New("the relay has an older state than this router")

// watchRelay sends a watch to a relay. After a failure another controller is asked immediately.
func (f *follower) watchRelay(ctx context.Context, address string, near nearness) {
	r := f.router
	asked := r.now()
	reply, err := f.callRelay(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			f.leaveRelay(address, err)
			level.Info(r.logger).Log("msg", "A relay did not answer; another controller is asked.", "relay", address,
				"near", near, "term", f.arguments.Term, "took", r.now().Sub(asked), "err", err)
		}
		if reply.Document != nil {
			r.takeDocument(*reply.Document)
		}
		return
	}
	f.choice.succeed(address)
	f.adopt(reply, asked, address, near)
	f.relayHold = holdOf(reply)
}

// leaveRelay has another controller asked, for a short time only if the relay is up.
func (f *follower) leaveRelay(address string, err error) {
	if errors.Is(err, errBehind) || structs.KindOf(err) == structs.ErrorNotLeader {
		f.choice.redirect(f.router.now(), address)
		return
	}
	f.choice.fail(f.router.now(), address)
}

func (f *follower) callRelay(ctx context.Context, address string) (*domainapi.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.relayHold+watchMargin)
	defer cancel()
	arguments, reply := f.arguments, &domainapi.WatchReply{}
	arguments.AllowsRelay = true
	err := f.router.client.Call(ctx, address, domainapi.MethodWatch, arguments, reply)
	if err == nil {
		err = structs.AsError(reply.Failure())
	}
	if err == nil && (reply.Term < arguments.Term || reply.Term == arguments.Term && reply.Revision < arguments.Revision) {
		err = errBehind
	}
	return reply, err
}

// adopt applies the reply of a controller.
func (f *follower) adopt(reply *domainapi.WatchReply, asked time.Time, address string, near nearness) {
	r := f.router
	isNewTerm := reply.Term != f.arguments.Term
	if !f.isConnected || isNewTerm {
		level.Info(r.logger).Log("msg", "Following a leader of the controllers.", "term", reply.Term, "routers", reply.Routers)
	}
	if f.choice.isUsed && (f.followed != address || !f.isConnected) {
		level.Info(r.logger).Log("msg", "Watching another controller.", "relay", address, "near", near, "before", f.followed)
		r.metrics.controllerChanges.WithLabelValues(near.String()).Inc()
		r.metrics.followsRelay.Set(0)
		if address != "" {
			r.metrics.followsRelay.Set(1)
		}
	}
	f.isConnected, f.followed = true, address
	if len(reply.Controllers) > 0 {
		f.controllers = reply.Controllers
	}
	if reply.Term >= f.arguments.Term {
		f.choice.adopt(reply.Relays, isNewTerm)
	}
	if reply.Relays != nil {
		r.metrics.traffic.SetPeerZones(reply.Relays.Zones())
	}
	r.adopt(reply, &f.arguments, asked)
}

// holdOf returns how long the leader holds the next watch.
func holdOf(reply *domainapi.WatchReply) time.Duration {
	return min(max(reply.Hold, domainapi.MinHold), domainapi.MaxHold)
}
