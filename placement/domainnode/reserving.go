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
	// reservationInterval is the pause between two reservations, so that concurrent requests
	// share a log entry.
	reservationInterval = 20 * time.Millisecond
	// maxReservationWait bounds how long a reply waits for a reservation; it is several times
	// the time to commit a log entry.
	maxReservationWait = 150 * time.Millisecond
)

// reservationSignal signals the reservation loop and its waiters.
type reservationSignal struct {
	// wake has a capacity of one.
	wake chan struct{}
	// done is closed and replaced after each reservation, under the leadership's mutex.
	done chan struct{}
}

func newReservationSignal() *reservationSignal {
	return &reservationSignal{wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (r *reservationSignal) wakeUp() {
	wake.Up(r.wake)
}

// reserveLoop logs reservations on demand until the leadership ends.
func (l *leadership) reserveLoop(ctx context.Context) {
	last := l.startedAt
	for {
		select {
		case <-l.reservation.wake:
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
		pause.For(ctx, reservationInterval)
	}
}

// reserve proposes one reservation. last is the time of the previous reservation, or of the
// start of the leadership.
func (l *leadership) reserve(ctx context.Context, decided, last time.Time, parts []quota.Part) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command, err := domain.Command{Reserve: &domain.Reservation{
		Since: decided.Sub(last), Keep: l.options.Limits.ReservationRetention(), Parts: parts,
	}}.Encode()
	if err == nil {
		_, err = l.member.group.Propose(ctx, command)
	}
	if err != nil {
		// The entry may still be committed. It then counts as granted but is never used.
		level.Warn(l.logger).Log("msg", "Parts of limits could not be reserved.", "tenants", len(parts), "err", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil {
		l.limits.Reserved(decided, parts)
	} else {
		l.limits.NotReserved(parts)
	}
	close(l.reservation.done)
	l.reservation.done = make(chan struct{})
}

// Draw grants shares of tenants' limits. If requests wait for shares that are not reserved
// yet, it waits for the reservation for at most maxReservationWait.
func (s *service) Draw(arguments *domainapi.DrawArguments, reply *domainapi.DrawReply) error {
	m, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	current.applyDocument()
	current.mutex.Lock()
	asker := quota.RouterProcess{Router: arguments.Router, Session: arguments.Session}
	current.limits.ApplyReturns(s.node.now(), asker, arguments.Question, arguments.Wants)
	current.mutex.Unlock()
	current.awaitReservation(arguments.Router, arguments.Wants)
	current.mutex.Lock()
	reply.Grants = current.limits.Draw(s.node.now(), arguments.Router, arguments.Wants)
	isReserving := current.limits.IsReserving(s.node.now())
	current.mutex.Unlock()
	if isReserving {
		current.reservation.wakeUp()
	}
	if !current.isValid() {
		// A new leader may have granted the same shares.
		*reply = domainapi.DrawReply{}
		reply.Error = structs.AsTyped(notLeaderError(m))
	}
	return nil
}

// awaitReservation waits until the requested shares are reserved, at most for
// maxReservationWait.
func (l *leadership) awaitReservation(router string, wants []quota.Want) {
	timeout := time.NewTimer(maxReservationWait)
	defer timeout.Stop()
	for {
		l.mutex.Lock()
		lacks, done := l.limits.RecordShortfalls(l.now(), router, wants), l.reservation.done
		l.mutex.Unlock()
		if !lacks {
			return
		}
		l.reservation.wakeUp()
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}
