package leadercall

import (
	"context"
	"errors"
	"time"

	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// maxRoundMembers is how many members of a group get a call in a round at most. In a group that
// is not larger, a round asks all of them in the given order.
const maxRoundMembers = 4

// search is the search of one call for the leader. It runs in rounds: each asks the known leader
// and, if that does not help, other members.
type search struct {
	group *groupState
	// tried holds the members asked in this round.
	tried map[string]bool
	// sent counts the members that may have got the call in this round.
	sent int
	// isListed is set if the last member was asked as one of the list and not as the known leader.
	isListed bool
	// isUninformed is set once a listed member knows no leader that the round has not asked.
	isUninformed bool
	// hasStarted is set once the round may ask listed members, isOver once it has failed.
	hasStarted, isOver bool
	// found and failures are those of the group at the start of the round.
	found    uint64
	failures int
}

func newSearch(group *groupState) *search {
	s := &search{group: group}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	s.begin()
	return s
}

// begin begins a round. The caller holds the group's mutex.
func (s *search) begin() {
	*s = search{group: s.group, tried: make(map[string]bool), found: s.group.found}
}

// next waits until a member may be asked and returns its address, or "" once ctx ends.
func (s *search) next(ctx context.Context) string {
	for ctx.Err() == nil {
		address, wait, changed := s.choose(time.Now())
		if address != "" {
			return address
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	s.abandon(time.Now())
	return ""
}

// choose returns the member to ask, or how long to wait unless the leader becomes known.
func (s *search) choose(at time.Time) (address string, wait time.Duration, changed <-chan struct{}) {
	g := s.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	isWaiting := s.isOver || !s.hasStarted
	if isWaiting && g.found != s.found || s.isOver && !at.Before(g.retryAt) {
		s.begin()
	}
	if g.leader != "" && !s.tried[g.leader] {
		s.tried[g.leader], s.isListed = true, false
		return g.leader, 0, nil
	}
	if !s.isOver && (s.hasStarted || s.start(at)) {
		if address := s.nextListed(); address != "" {
			return address, 0, nil
		}
		s.end(at)
	}
	return "", g.retryAt.Sub(at), g.changed
}

// start reports whether the round may ask listed members now, and if so delays the rounds of the
// other calls. The caller holds the group's mutex.
func (s *search) start(at time.Time) bool {
	g := s.group
	if at.Before(g.retryAt) {
		return false
	}
	s.hasStarted, s.failures = true, g.failures
	g.delayRounds(at)
	return true
}

// nextListed returns the next listed member of the round, or "" if it has none. The caller holds
// the group's mutex.
func (s *search) nextListed() string {
	g := s.group
	isLarge := g.isLarge()
	if isLarge && (s.isUninformed || s.sent >= maxRoundMembers) {
		return ""
	}
	first := 0
	if isLarge {
		first = g.position
	}
	for i := range g.order {
		index := (first + i) % len(g.order)
		address := g.order[index]
		if !s.tried[address] {
			s.tried[address], s.isListed = true, true
			g.position = index + 1
			return address
		}
	}
	return ""
}

// end ends a failed round. Only the first of several concurrent rounds raises the backoff, and none
// does that reached no member and so loaded none. The caller holds the group's mutex.
func (s *search) end(at time.Time) {
	g := s.group
	s.isOver = true
	if s.sent > 0 && g.failures == s.failures {
		g.failures++
	}
	if !at.Before(g.retryAt) {
		g.delayRounds(at)
	}
}

// abandon ends the round in progress when the call's context has ended.
func (s *search) abandon(at time.Time) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	if s.hasStarted && !s.isOver {
		s.end(at)
	}
}

// record records the result of an attempt. It returns the leader that the member has named, if any,
// and whether the call is over. isCutShort is set if the call has ended before the member had much time to
// answer, which tells nothing about the member.
func (s *search) record(address string, err error, isCutShort bool) (leader string, isOver bool) {
	g := s.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err == nil {
		g.recordSuccess(address)
		return "", true
	}
	var typed *structs.Error
	if !errors.As(err, &typed) {
		return "", true
	}
	switch typed.Kind {
	case structs.ErrorNotLeader:
		s.sent++
		s.recordRedirect(address, typed.Leader)
		return typed.Leader, false
	case structs.ErrorUnavailable, structs.ErrorDeadline:
		if !transport.NotSent(err) {
			s.sent++
		}
		if g.leader == address && !isCutShort {
			g.leader = ""
		}
		return "", false
	}
	return "", true
}

// recordRedirect records that a member does not lead and which leader it knows, "" for none. The
// caller holds the group's mutex.
func (s *search) recordRedirect(address, leader string) {
	g := s.group
	if s.isListed && (leader == "" || s.tried[leader]) {
		s.isUninformed = true
	}
	switch {
	case g.found != s.found && g.leader != "" && g.leader != address:
		// The leader was found since this round began.
	case leader != "":
		g.setLeader(leader)
		g.startAt(address)
	case g.leader == address:
		g.leader = ""
	}
}
