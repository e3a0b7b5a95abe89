package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/tunnel"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxToldNotices bounds the notices that a status carries.
	maxToldNotices = 256
	// tellTimeout bounds telling a peer of a notice.
	tellTimeout = time.Second
)

// leavingTold identifies a peer that was told that a runner is leaving.
type leavingTold struct {
	peer   string
	runner structs.RunnerID
}

// isUnwilling reports whether the runner at the address has asked this router for a cooldown, or is leaving.
func (r *Router) isUnwilling(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	instance := r.fleet.InstanceAt(address)
	return r.notices.book.IsLeaving(instance) || r.now().Before(r.notices.book.CooldownEnd(instance))
}

// toldNotices returns the notices in force for peers, at most maxToldNotices. The caller must hold r.mutex.
func (r *Router) toldNotices() []tunnel.Notice {
	if r.notices.book.IsEmpty() {
		return nil
	}
	var told []tunnel.Notice
	r.notices.book.Unwilling(r.now(), func(instance string, cooldown time.Duration, isLeaving bool) {
		if runner := r.fleet.Runner(instance); runner != nil {
			told = append(told, tunnel.Notice{Runner: runner.Address, Instance: instance, Cooldown: cooldown, IsLeaving: isLeaving})
		}
	})
	slices.SortFunc(told, func(a, b tunnel.Notice) int { return cmp.Compare(a.Runner, b.Runner) })
	return told[:min(len(told), maxToldNotices)]
}

// takeNotice applies what a runner said in an answer that another router got through this one: the runner has said it to
// this machine.
func (r *Router) takeNotice(told tunnel.Notice) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isListedAt(told) {
		r.noteNotice(structs.RunnerID(told.Instance), notice.Notice{Cooldown: told.Cooldown, IsLeaving: told.IsLeaving})
	}
}

// isListedAt reports whether the runner of a notice is listed at its address. The caller must hold r.mutex.
func (r *Router) isListedAt(told tunnel.Notice) bool {
	return told.Instance != "" && r.fleet.InstanceAt(told.Runner) == told.Instance
}

// tellPeer tells the peer through which an answer came what the runner said in it. The caller must hold r.mutex.
func (r *Router) tellPeer(path paths.Path, runner structs.RunnerID, heard notice.Notice) {
	listed := r.fleet.Runner(string(runner))
	if path.IsDirect() || listed == nil || heard.Cooldown <= 0 && !r.isLeavingNews(path.Peer, runner, heard) {
		return
	}
	told := tunnel.Notice{Runner: listed.Address, Instance: string(runner), Cooldown: heard.Cooldown, IsLeaving: heard.IsLeaving}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := tunnel.Tell(ctx, r.options.Dialer.network, path.Peer, told); err != nil {
			level.Info(r.logger).Log("msg", "A peer was not told what a runner says of itself.", "peer", path.Peer, "runner", runner, "err", err)
		}
	}()
}

// isLeavingNews reports whether a runner said that it is leaving, and the peer was not told that before.
func (r *Router) isLeavingNews(peer string, runner structs.RunnerID, heard notice.Notice) bool {
	told := leavingTold{peer, runner}
	if !heard.IsLeaving || r.peers.leavingTold[told] {
		return false
	}
	if len(r.peers.leavingTold) >= maxToldNotices {
		clear(r.peers.leavingTold)
	}
	r.peers.leavingTold[told] = true
	return true
}

// observePeerNotices applies what runners said to the machine of a peer that this router uses: that a runner is leaving holds
// for all, a cooldown for requests through that peer. The caller must hold r.mutex.
func (r *Router) observePeerNotices(peer string, told []tunnel.Notice) {
	for _, each := range told {
		if !r.isListedAt(each) {
			continue
		}
		runner := structs.RunnerID(each.Instance)
		if each.IsLeaving {
			r.noteNotice(runner, notice.Notice{IsLeaving: true})
		}
		if each.Cooldown > 0 {
			r.avoidPeerFor(peer, runner, each.Cooldown)
		}
	}
}

// avoidPeerFor sends nothing to a runner through a peer during a cooldown, and nothing at all if there is no other way. The
// caller must hold r.mutex.
func (r *Router) avoidPeerFor(peer string, runner structs.RunnerID, cooldown time.Duration) {
	now, zone := r.now(), r.zones.watch.ZoneOf(runner)
	r.peers.paths.Sent(now, paths.Path{Peer: peer}, runner, zone, paths.OutcomeMissed)
	for attempt := range r.zones.attempts[zone] {
		if attempt.runner == runner && attempt.path.Peer == peer {
			attempt.recall()
		}
	}
	if r.peers.paths.IsLost(runner, zone) && !r.peers.paths.HasPeerFor(now, runner, zone) {
		r.noteNotice(runner, notice.Notice{Cooldown: cooldown})
	}
}
