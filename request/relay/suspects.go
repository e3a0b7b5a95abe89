package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxSeenLosses and maxSeenDigests bound the losses that a router remembers for a new leader:
	// as many as a leader keeps at all, which is some MiB.
	maxSeenLosses  = 256
	maxSeenDigests = 512
	// seenLife is how long a router remembers a loss for a new leader: some times as long as the
	// group takes to elect one after the loss of all its processes.
	seenLife = 2 * time.Minute
	// permitTimeout bounds the question whether a suspected request may be sent: an answer takes
	// some milliseconds, another leader after a lost one 0.4 to 0.9 s.
	permitTimeout = time.Second
	// unknownPermitReturn is when a caller is asked to come back whose request may be sent by a
	// leader's permission only, while there is no leader: elections take about half a second.
	unknownPermitReturn = 500 * time.Millisecond
)

// suspects is what a router knows of requests that may crash runners. The router's mutex guards it.
type suspects struct {
	// refusedUntil has the requests that the leader listed, each with the end of its refusal; zero
	// for one that may be sent by the leader's permission.
	refusedUntil map[poison.Digest]time.Time
	// seen are the losses that this router saw, by instance.
	seen map[string]*seenLoss
	// unreported are the requests of losses that are to be reported, endings the same of runs.
	unreported map[string][]poison.Digest
	endings    []poison.Ending
}

type seenLoss struct {
	at      time.Time
	digests map[poison.Digest]bool
}

func newSuspects() suspects {
	return suspects{
		refusedUntil: make(map[poison.Digest]time.Time),
		seen:         make(map[string]*seenLoss),
		unreported:   make(map[string][]poison.Digest),
	}
}

// adopt takes the leader's list.
func (s *suspects) adopt(now time.Time, list *poison.List) {
	if list == nil {
		return
	}
	clear(s.refusedUntil)
	for _, entry := range list.Entries {
		until := time.Time{}
		if entry.RefusedFor > 0 {
			until = now.Add(entry.RefusedFor)
		}
		s.refusedUntil[entry.Digest] = until
	}
}

// lost notes that a request was under way at a runner when its connection broke.
func (s *suspects) lost(now time.Time, instance string, digest poison.Digest) {
	s.forgetOld(now)
	known := s.seen[instance]
	if known == nil {
		if len(s.seen) >= maxSeenLosses {
			return
		}
		known = &seenLoss{at: now, digests: make(map[poison.Digest]bool)}
		s.seen[instance] = known
	}
	if known.digests[digest] || len(known.digests) >= maxSeenDigests {
		return
	}
	known.digests[digest] = true
	s.unreported[instance] = append(s.unreported[instance], digest)
}

func (s *suspects) forgetOld(now time.Time) {
	for instance, each := range s.seen {
		if now.Sub(each.at) > seenLife {
			delete(s.seen, instance)
		}
	}
}

// reportAnew lets a new leader know of all losses that this router saw.
func (s *suspects) reportAnew(now time.Time) {
	s.forgetOld(now)
	clear(s.unreported)
	for instance, each := range s.seen {
		for digest := range each.digests {
			s.unreported[instance] = append(s.unreported[instance], digest)
		}
	}
}

// isKnown reports whether anything speaks against a request.
func (s *suspects) isKnown(digest poison.Digest) bool {
	if _, isListed := s.refusedUntil[digest]; isListed {
		return true
	}
	for _, each := range s.seen {
		if each.digests[digest] {
			return true
		}
	}
	return false
}

// clear forgets what speaks against a request that has ended well.
func (s *suspects) clear(digest poison.Digest) {
	for instance, each := range s.seen {
		delete(each.digests, digest)
		if len(each.digests) == 0 {
			delete(s.seen, instance)
		}
	}
}

// take hands out what is to be reported.
func (s *suspects) take() (losses []poison.Report, endings []poison.Ending) {
	for instance, digests := range s.unreported {
		losses = append(losses, poison.Report{Instance: instance, Digests: digests})
	}
	clear(s.unreported)
	endings, s.endings = s.endings, nil
	return losses, endings
}

// giveBack takes back what could not be reported.
func (s *suspects) giveBack(losses []poison.Report, endings []poison.Ending) {
	for _, each := range losses {
		s.unreported[each.Instance] = append(each.Digests, s.unreported[each.Instance]...)
	}
	s.endings = append(endings, s.endings...)
	if excess := len(s.endings) - maxEndings; excess > 0 {
		s.endings = s.endings[excess:]
	}
}

// maxEndings bounds the endings that wait for a leader; the oldest are dropped first, as leaders
// end trials by themselves after a time.
const maxEndings = 1024

// standing is what a router may do with a request by itself.
func (r *Router) standing(digest poison.Digest) (permission poison.Permission, refusedFor time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	until, isListed := r.suspects.refusedUntil[digest]
	switch left := until.Sub(r.now()); {
	case !isListed:
		return poison.Free, 0
	case !until.IsZero() && left > 0:
		return poison.Refused, left
	}
	return poison.Trial, 0
}

// permit is whether an exchange's request may be sent now.
type permit struct {
	permission poison.Permission
	comeBackIn time.Duration
	// err is why the leader could not be asked.
	err error
}

// isGranted reports whether the request may be sent.
func (p permit) isGranted() bool { return p.permission == poison.Free || p.isTrial() }

// isTrial reports whether the leader must be told how the run ends.
func (p permit) isTrial() bool { return p.permission == poison.Trial }

// askPermit says whether the request may be sent to the chosen runner. For a suspected one the
// leader decides, as other routers may have the same at hand.
func (x *exchange) askPermit(ctx context.Context, instance structs.RunnerID) permit {
	permission, refusedFor := x.router.standing(x.digest)
	if permission != poison.Trial {
		return permit{permission: permission, comeBackIn: refusedFor}
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if x.asker == "" {
		x.asker = fmt.Sprintf("%s/%d", x.router.options.Name, x.router.askers.Add(1))
	}
	arguments := domainapi.TryArguments{
		Router: x.router.options.Name, Digest: x.digest, Asker: x.asker, Instance: string(instance),
	}
	reply, err := leadercall.Call(ctx, x.router.caller, domainapi.MethodTry, arguments,
		func() *domainapi.TryReply { return &domainapi.TryReply{} })
	if err != nil {
		return permit{permission: poison.Later, comeBackIn: unknownPermitReturn, err: err}
	}
	return permit{permission: reply.Permission, comeBackIn: reply.ComeBackIn}
}

// noteEnd tells the leader what an attempt says about the request.
func (x *exchange) noteEnd(instance structs.RunnerID, isTrial bool, ended result) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ending := poison.Ending{Digest: x.digest, How: poison.EndedOpen}
	switch {
	case ended.isBroken() && r.zones.watch.IsLost(r.zones.watch.ZoneOf(instance)):
		// The connection broke with all others to the zone, not with the runner.
		if !isTrial {
			return
		}
	case ended.isBroken():
		r.suspects.lost(r.now(), string(instance), x.digest)
		r.wakeReport()
		return
	case ended.isServed():
		if !isTrial && !r.suspects.isKnown(x.digest) {
			return
		}
		r.suspects.clear(x.digest)
		ending.How = poison.EndedWell
	case !isTrial:
		return
	case ended.reason == reasonNotHeld || ended.reason == reasonShed:
		ending.How = poison.TurnedAway
	case ended.isNotRun:
		ending.How = poison.NotSent
	}
	r.suspects.endings = append(r.suspects.endings, ending)
	r.wakeReport()
}

const (
	// reasonCrashes is that of a request that is refused as it crashes runners, and
	// reasonTrial that of one that has to wait for a trial.
	reasonCrashes = "crashes_runners"
	reasonTrial   = "trial_later"
)

// refuseSuspect answers a request that may not be sent, clearly enough for its caller to see that
// the trouble is the request. What a runner answered before is passed on.
func (x *exchange) refuseSuspect(why permit, last result) {
	reason, message := reasonCrashes, "runners that ran this request have crashed: change the request, or ask the operators of the site"
	if why.permission == poison.Later {
		reason, message = reasonTrial, "runners that ran this request have crashed: it is tried by itself, come back later"
	}
	if last.answer != nil && !x.isStarted {
		x.conclude(last)
		return
	}
	x.count(reason)
	if suppressed, allowed := x.router.refusedSuspects.Allow(time.Now()); allowed {
		level.Info(x.router.logger).Log("msg", "A request that may crash runners was not sent.", "request", x.request.ID,
			"content", x.digest, "route", x.route.Name, "outcome", reason, "attempts", x.attempts, "come_back_in", why.comeBackIn,
			"age", x.router.age(x.request), "not_logged", suppressed, "err", why.err)
	}
	x.answerUnserved(why.comeBackIn, message)
}

// maxSuspectLines is how many lines a second tell of requests that may crash runners.
const maxSuspectLines = 20
