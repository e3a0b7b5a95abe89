package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/mirror"
)

// watch answers a router's watch from the mirror, or redirects it. It returns false if the router asks
// for the leader.
func (r *relay) watch(arguments *domainapi.WatchArguments, reply *domainapi.WatchReply) bool {
	if r == nil || !arguments.AllowsRelay {
		return false
	}
	asked, heldUntil, isOpen := r.begin(arguments)
	if !isOpen {
		r.redirectWatch(arguments, reply)
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
			r.redirectWatch(arguments, reply)
			return true
		case action == mirror.Answer:
			if !r.answer(arguments, asked, reply) {
				r.redirectWatch(arguments, reply)
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

// redirectWatch redirects a router. It still gets the document if it lacks it.
func (r *relay) redirectWatch(arguments *domainapi.WatchArguments, reply *domainapi.WatchReply) {
	*reply = domainapi.WatchReply{}
	reply.Error = r.redirect()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply.Document = r.mirror.NewerDocument(arguments.Version)
}

// begin records a router's watch.
func (r *relay) begin(arguments *domainapi.WatchArguments) (asked, heldUntil time.Time, isOpen bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	asked = r.node.now()
	hold := holdDuration(max(r.mirror.Routers(asked), r.mirror.SiteRouters()), arguments.MaxHold)
	if r.isOpen {
		r.mirror.Observe(asked, arguments, hold)
	}
	return asked, asked.Add(hold), r.isOpen
}

// answer fills a reply from the mirror in its turn. It returns false if the router must be redirected.
func (r *relay) answer(arguments *domainapi.WatchArguments, asked time.Time, reply *domainapi.WatchReply) bool {
	r.mutex.Lock()
	now := r.node.now()
	wait, isTaken := r.replyPacer.reserve(now, r.mirror.ReplyBytes(now, arguments), r.mirror.CurrentUntil().Sub(now))
	r.mutex.Unlock()
	if !isTaken {
		return false
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
		return false
	}
	outcome := "unchanged"
	if reply.View != nil || reply.Document != nil {
		outcome = "changed"
	}
	r.node.metrics.relayedWatches.WithLabelValues(outcome).Inc()
	return true
}
