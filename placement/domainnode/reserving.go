package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// reservePause separates two reservations, so that those of requests that come at the
	// same time share an entry of the log.
	reservePause = 20 * time.Millisecond
	// reserveWait is the longest that an answer to a router waits for a reservation: several
	// times what an entry of the log takes.
	reserveWait = 150 * time.Millisecond
)

// reserving wakes the loop that reserves parts of limits, and those who wait for it.
type reserving struct {
	// wake has room for one.
	wake chan struct{}
	// done is closed and replaced after each reservation, under the leadership's mutex.
	done chan struct{}
}

func newReserving() *reserving {
	return &reserving{wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (r *reserving) wakeUp() {
	wake.Up(r.wake)
}

// reserveLoop puts in the log what may be granted in the next moments, until the leadership ends.
func (l *leadership) reserveLoop(ctx context.Context) {
	last := l.beganAt
	for {
		select {
		case <-l.reserving.wake:
		case <-ctx.Done():
			return
		}
		l.mutex.Lock()
		ended := l.ended
		decided := l.now()
		parts := l.limits.Reserve(decided)
		l.mutex.Unlock()
		if ended {
			return
		}
		if len(parts) == 0 {
			continue
		}
		l.reserve(ctx, decided, last, parts)
		last = decided
		pause.For(ctx, reservePause)
	}
}

// reserve puts one reservation in the log. The reservation before it was decided at last, or the
// leadership began then.
func (l *leadership) reserve(ctx context.Context, decided, last time.Time, parts []quota.Part) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command, err := domain.Command{Reserve: &domain.Reservation{
		Since: decided.Sub(last), Keep: l.options.Limits.KeepReservations(), Parts: parts,
	}}.Encode()
	if err == nil {
		_, err = l.member.group.Propose(ctx, command)
	}
	if err != nil {
		// Whether it has come into the log is not known: it counts there, and is never granted.
		level.Warn(l.logger).Log("msg", "Parts of limits could not be reserved.", "tenants", len(parts), "err", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil {
		l.limits.Reserved(decided, parts)
	} else {
		l.limits.NotReserved(parts)
	}
	close(l.reserving.done)
	l.reserving.done = make(chan struct{})
}

// Draw hands out parts of tenants' limits. If requests wait for what has to be reserved first,
// so does the answer, for a short time.
func (s *service) Draw(arguments *domainapi.DrawArguments, reply *domainapi.DrawReply) error {
	joined, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	current.adoptDocument()
	current.mutex.Lock()
	asker := quota.Asker{Router: arguments.Router, Session: arguments.Session}
	current.limits.TakeBack(s.node.now(), asker, arguments.Question, arguments.Wants)
	current.mutex.Unlock()
	current.awaitReservation(arguments.Router, arguments.Wants)
	current.mutex.Lock()
	reply.Grants = current.limits.Draw(s.node.now(), arguments.Router, arguments.Wants)
	isReserving := current.limits.IsReserving(s.node.now())
	current.mutex.Unlock()
	if isReserving {
		current.reserving.wakeUp()
	}
	if !current.isValid() {
		// Another leader may have begun to grant the same.
		*reply = domainapi.DrawReply{}
		reply.Error = structs.AsTyped(notLeaderError(joined))
	}
	return nil
}

// awaitReservation waits until what requests need is reserved, at most for reserveWait.
func (l *leadership) awaitReservation(router string, wants []quota.Want) {
	timeout := time.NewTimer(reserveWait)
	defer timeout.Stop()
	for {
		l.mutex.Lock()
		lacks, done := l.limits.Lacks(l.now(), router, wants), l.reserving.done
		l.mutex.Unlock()
		if !lacks {
			return
		}
		l.reserving.wakeUp()
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}
