package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/mirror"
	"github.com/lotusferry/lotusferry/structs"
)

// watch answers a router's watch from the mirror, or redirects it. It returns false if the node
// never relays or the router asks for the leader.
func (r *relay) watch(arguments *domainapi.WatchArguments, reply *domainapi.WatchReply) bool {
	if r == nil || !arguments.AllowsRelay {
		return false
	}
	asked, heldUntil, isOpen := r.begin(arguments)
	if !isOpen {
		reply.Error = r.redirect()
		return true
	}
	wake.Up(r.tell)
	for {
		r.mutex.Lock()
		// Get the channel before checking for changes, so that none is missed.
		changed, now, isOpen := r.changed, r.node.now(), r.isOpen
		action, until := r.mirror.Next(now, arguments, asked, heldUntil)
		r.mutex.Unlock()
		switch {
		case !isOpen || action == mirror.Redirect:
			reply.Error = r.redirect()
			return true
		case action == mirror.Answer:
			if err := r.answer(arguments, asked, reply); err != nil {
				*reply = domainapi.WatchReply{}
				reply.Error = err
			}
			return true
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// begin records a router's watch.
func (r *relay) begin(arguments *domainapi.WatchArguments) (asked, heldUntil time.Time, isOpen bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	asked = r.node.now()
	hold := holdDuration(r.mirror.Routers(asked), arguments.MaxHold)
	if r.isOpen {
		r.mirror.Observe(asked, arguments, hold)
	}
	return asked, asked.Add(hold), r.isOpen
}

// answer fills a reply from the mirror in its turn.
func (r *relay) answer(arguments *domainapi.WatchArguments, asked time.Time, reply *domainapi.WatchReply) *structs.Error {
	r.mutex.Lock()
	now := r.node.now()
	wait, isTaken := r.replyPacer.reserve(now, r.mirror.ReplyBytes(now, arguments), r.mirror.CurrentUntil().Sub(now))
	r.mutex.Unlock()
	if !isTaken {
		return r.redirect()
	}
	if wait > 0 {
		pause.For(context.Background(), wait)
	}
	r.mutex.Lock()
	now = r.node.now()
	isCurrent := r.isOpen && r.mirror.MayAnswer(now, arguments)
	var err error
	if isCurrent {
		err = r.mirror.Fill(now, arguments, asked, reply)
	}
	r.mutex.Unlock()
	if err != nil {
		level.Error(r.logger).Log("msg", "A view cannot be encoded.", "err", err)
	}
	if err != nil || !isCurrent {
		return r.redirect()
	}
	outcome := "unchanged"
	if reply.View != nil || reply.Document != nil {
		outcome = "changed"
	}
	r.node.metrics.relayedWatches.WithLabelValues(outcome).Inc()
	return nil
}
