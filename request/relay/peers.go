package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	rosters "github.com/lotusferry/lotusferry/placement/peers"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/tunnel"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// announceInterval is the interval at which a router that sends reports says again where it accepts
	// tunnels. The leader forgets routers that it does not hear for longer.
	announceInterval = 10 * time.Second
	// announceSpread is the time over which routers without anything else to report announce themselves to a new
	// leader.
	announceSpread = 2 * time.Second
	// reachCheckInterval is the interval between looks at all runners for services that are lost.
	reachCheckInterval = 200 * time.Millisecond
	// maxPathLogRate bounds the log lines per second about the ways to single runners.
	maxPathLogRate = 5
)

// errPeerLost is the cancellation cause of a repeatable attempt through a peer that was lost.
var errPeerLost = errors.New("the peer is lost")

// peering is the state of the ways to runners through other routers. It is guarded by Router.mutex.
type peering struct {
	paths *paths.Paths
	// watches end the watches of peers' states, by address.
	watches map[string]context.CancelFunc
	// announcedAt is when the leader was told the address for tunnels, and announcedCutOff what it was told of the
	// reach of this router.
	announcedAt     time.Time
	announcedCutOff bool
	// announceAt is when the leader is told at the latest if it was not.
	announceAt time.Time
	// isCutOff is set while no runner of some service is reached directly, as of reachCheckedAt.
	isCutOff       bool
	reachCheckedAt time.Time
	// leavingTold are the peers that were told that runners are leaving.
	leavingTold map[leavingTold]bool
	// server accepts the tunnels of others; nil for none.
	server *tunnel.Server
	// logLimiter limits the log lines about single runners.
	logLimiter *asynclog.Limiter
}

func newPeering(options Options, watch *zonewatch.Watch) peering {
	return peering{
		paths:      paths.New(rand.New(rand.NewPCG(options.Seed, 4)), watch),
		watches:    make(map[string]context.CancelFunc),
		logLimiter: asynclog.NewLimiter(maxPathLogRate),

		leavingTold: make(map[leavingTold]bool),
	}
}

// NewTunnelServer returns the server through which peers reach runners. It must be called before Run, at most once.
func (r *Router) NewTunnelServer() *tunnel.Server {
	r.peers.server = tunnel.NewServer(tunnel.Options{
		Logger: r.logger, Status: r.peerStatus, IsUnwilling: r.isUnwilling, TakeNotice: r.takeNotice,
		// A failure raises no doubts here: routers that ask for a runner that has ended would make each other look for it.
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return r.options.Dialer.DialContext(ctx, "tcp", address)
		},
		IsRunner: func(address string) bool {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			return r.fleet.IsTaken(address)
		},
		Observe: func(outcome string) { r.metrics.tunnels.WithLabelValues(outcome).Inc() },
	})
	return r.peers.server
}

// peerStatus returns what this router says of itself to its peers.
func (r *Router) peerStatus() tunnel.Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lost := r.zones.watch.LostZones()
	slices.Sort(lost)
	return tunnel.Status{IsBusy: r.isOverloaded(), Lost: lost, Notices: r.toldNotices()}
}

// initialPeers returns the version of the list of peers before the first; 0 if the router uses none.
func (r *Router) initialPeers() uint64 {
	if r.options.Dialer == nil {
		return 0
	}
	return rosters.InitialVersion
}

// adoptPeers takes over the peers that a controller selected.
func (r *Router) adoptPeers(selected *rosters.Selection) {
	listed := make([]paths.Peer, 0, len(selected.Peers))
	for _, each := range selected.Peers {
		listed = append(listed, paths.Peer{Name: each.Router, Address: each.Address, Zone: structs.ZoneID(each.Zone)})
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.paths.SetPeers(listed)
	r.metrics.peersKnown.Set(float64(r.peers.paths.Peers()))
}

// announcement is what a report tells the leader of this router as a peer.
type announcement struct {
	// address is empty if the leader knows it.
	address  string
	isCutOff bool
	// isUrgent is set if the report must be sent even if it tells nothing else.
	isUrgent bool
}

// announceAgain has a leader that may not know this router told of it as a peer, with the next report or within announceSpread. The caller
// must hold r.mutex.
func (r *Router) announceAgain() {
	delay := time.Duration(r.random.Int64N(int64(announceSpread)))
	r.peers.announcedAt, r.peers.announceAt = time.Time{}, r.now().Add(delay)
	time.AfterFunc(delay, r.wakeReport)
}

// takeAnnouncement returns what the next report tells. The caller must hold r.mutex.
func (r *Router) takeAnnouncement(now time.Time) announcement {
	if r.options.TunnelAddress == "" {
		return announcement{}
	}
	next := announcement{isCutOff: r.peers.isCutOff}
	isNew := r.peers.announcedAt.IsZero()
	next.isUrgent = isNew && !now.Before(r.peers.announceAt) || r.peers.announcedCutOff != r.peers.isCutOff
	if next.isUrgent || isNew || now.Sub(r.peers.announcedAt) >= announceInterval {
		next.address = r.options.TunnelAddress
		r.peers.announcedAt, r.peers.announcedCutOff = now, r.peers.isCutOff
	}
	return next
}

// noteReach records whether this router reaches its runners, and tells the leader when that changes. The caller must
// hold r.mutex.
func (r *Router) noteReach(now time.Time) {
	isCutOff := r.hasLostService()
	if isCutOff == r.peers.isCutOff {
		return
	}
	r.peers.isCutOff = isCutOff
	if isCutOff {
		r.metrics.cutOff.Set(1)
		level.Warn(r.logger).Log("msg", "No runner of a service is reached directly.", "zones_lost", r.zones.watch.Lost(),
			"peers", r.peers.paths.Peers(), "leader_heard_before", now.Sub(r.routerCount.at))
	} else {
		r.metrics.cutOff.Set(0)
		level.Info(r.logger).Log("msg", "Runners of all services are reached directly again.", "zones_lost", r.zones.watch.Lost())
	}
	r.wakeReport()
}

// hasLostService reports whether the direct way to all runners of a service is lost. The caller must hold r.mutex.
func (r *Router) hasLostService() bool {
	if r.peers.paths.IsIdle() {
		return false
	}
	isReached := make(map[string]bool)
	for instance := range r.candidates.runners {
		runner := r.fleet.Runner(instance)
		if runner == nil {
			continue
		}
		isLost := r.peers.paths.IsLost(structs.RunnerID(instance), structs.ZoneID(runner.Zone))
		isReached[runner.Service] = isReached[runner.Service] || !isLost
	}
	for _, isAny := range isReached {
		if !isAny {
			return true
		}
	}
	return false
}

// peerWish returns which peers may pass the request on.
func (x *exchange) peerWish() paths.Wish {
	wish := paths.Wish{Avoid: x.lostPeer}
	if x.regions != nil {
		wish.Zones = x.regions.zones
	}
	return wish
}

// isPeerFailure reports whether a request was not sent because of a peer.
func isPeerFailure(err error) bool {
	var failed *tunnel.Error
	return errors.As(err, &failed) && failed.Cause != tunnel.CauseRunner
}

// outcomeOf returns what an error of a connect through a peer tells.
func outcomeOf(err error) paths.Outcome {
	var failed *tunnel.Error
	switch {
	case err == nil:
		return paths.OutcomeReached
	case !errors.As(err, &failed):
		return paths.OutcomeUnknown
	case failed.Cause == tunnel.CauseRunner:
		return paths.OutcomeMissed
	}
	return paths.OutcomePeerFailed
}

// noteNotReached records that a request was not sent because its runner was not reached over a path.
func (r *Router) noteNotReached(runner structs.RunnerID, path paths.Path, err error) {
	if path.IsDirect() {
		r.connectFailed(runner)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.paths.Sent(r.now(), path, runner, r.zones.watch.ZoneOf(runner), outcomeOf(err))
}

// isDoubtfulFailure reports whether an attempt failed on a connect while this router's own links are known to be at
// fault, which says nothing about the runner.
func (r *Router) isDoubtfulFailure(ended result) bool {
	if !ended.isNotRun || ended.reason != reasonSendFailed {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers.paths.HasLost()
}

// stepPaths makes the probes of ways that are due. The caller must hold r.mutex.
func (r *Router) stepPaths(now time.Time) {
	changes, probes := r.peers.paths.Step(now)
	for _, change := range changes {
		r.applyPathChange(change)
	}
	r.probePaths(probes)
	r.watchPeers(now)
	isDue := now.Sub(r.peers.reachCheckedAt) >= reachCheckInterval
	if isDue && (!r.peers.paths.IsIdle() || r.peers.isCutOff) {
		r.peers.reachCheckedAt = now
		r.noteReach(now)
	}
}

// probePaths connects to runners in the background, directly or through peers. The caller must hold r.mutex.
func (r *Router) probePaths(probes []paths.Probe) {
	ctx := r.zones.probing
	if ctx == nil {
		return
	}
	for _, each := range probes {
		runner := r.fleet.Runner(string(each.Runner))
		if runner == nil {
			r.endPathProbe(each, paths.OutcomeUnknown)
			continue
		}
		address := runner.Address
		r.zones.probes.Go(func() {
			outcome := r.options.Dialer.probePath(ctx, each.Path, address)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.endPathProbe(each, outcome)
		})
	}
}

// endPathProbe applies the outcome of a probe. The caller must hold r.mutex.
func (r *Router) endPathProbe(probe paths.Probe, outcome paths.Outcome) {
	way := "direct"
	if !probe.Path.IsDirect() {
		way = "peer"
	}
	r.metrics.peerProbes.WithLabelValues(way, outcome.String()).Inc()
	for _, change := range r.peers.paths.Probed(r.now(), probe, outcome) {
		r.applyPathChange(change)
	}
}

// applyPathChange has runners chosen according to how they are reached. The caller must hold r.mutex.
func (r *Router) applyPathChange(change paths.Change) {
	text := "Runners are reached through peers."
	switch {
	case change.Zone != "":
		r.balancer.SetZoneUnreachable(change.Zone, !change.IsThroughPeers)
		if !change.IsThroughPeers {
			text = "No peer reaches the runners of a zone any more."
		}
		level.Info(r.logger).Log("msg", text, "zone", change.Zone, "peer", change.Peer, "after", change.After)
	default:
		r.balancer.ClearFailures(change.Runner)
		if change.IsThroughPeers {
			r.cancelSilentAt(change.Runner)
			time.AfterFunc(liveConnectionTime, func() { r.cancelIfStillThroughPeers(change.Runner) })
		} else {
			text = "A runner is reached directly again."
		}
		if suppressed, isAllowed := r.peers.logLimiter.Allow(r.now()); isAllowed {
			level.Info(r.logger).Log("msg", text, "runner", change.Runner, "peer", change.Peer, "after", change.After, "not_logged", suppressed)
		}
	}
	r.serveWaiters()
}

// watchPeers watches the states of the peers in use. The caller must hold r.mutex.
func (r *Router) watchPeers(now time.Time) {
	ctx := r.zones.probing
	if ctx == nil {
		return
	}
	wanted := r.peers.paths.Watched(now)
	for address, end := range r.peers.watches {
		if !slices.Contains(wanted, address) {
			end()
			delete(r.peers.watches, address)
		}
	}
	for _, address := range wanted {
		if r.peers.watches[address] != nil {
			continue
		}
		watching, end := context.WithCancel(ctx)
		r.peers.watches[address] = end
		r.zones.probes.Go(func() {
			defer end()
			r.watchPeer(watching, address)
		})
	}
}

// watchPeer watches the state of a peer until ctx ends or the peer is lost.
func (r *Router) watchPeer(ctx context.Context, address string) {
	err := tunnel.Watch(ctx, r.options.Dialer.network, address, func(status tunnel.Status) {
		r.mutex.Lock()
		r.peers.paths.ObserveStatus(address, paths.Status{IsStopping: status.IsStopping, IsBusy: status.IsBusy, Lost: status.Lost})
		r.observePeerNotices(address, status.Notices)
		r.mutex.Unlock()
		if status.IsStopping && r.options.CloseIdle != nil {
			r.options.CloseIdle(address)
		}
	})
	if ctx.Err() != nil {
		return
	}
	level.Info(r.logger).Log("msg", "A peer in use is lost.", "peer", address, "err", err)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.paths.PeerFailed(r.now(), address)
	delete(r.peers.watches, address)
	for _, attempts := range r.zones.attempts {
		for w := range attempts {
			if w.path.Peer == address {
				w.cancelLost(errPeerLost)
			}
		}
	}
}
