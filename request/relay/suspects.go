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
	// maxLosses and maxLossDigests bound the runner losses remembered for a new leader.
	maxLosses      = 256
	maxLossDigests = 512
	// lossTTL is how long a loss is remembered for a new leader: several times the duration of an
	// election after the loss of all controllers.
	lossTTL = 2 * time.Minute
	// permitTimeout bounds a permission request: a response takes milliseconds, a change of leader
	// 0.4 to 0.9 s.
	permitTimeout = time.Second
	// noLeaderRetryAfter is the Retry-After of a request that needs the leader's permission while
	// there is no leader: about the duration of an election.
	noLeaderRetryAfter = 500 * time.Millisecond
)

// suspects tracks the requests that may crash runners. It is guarded by Router.mutex.
type suspects struct {
	// refusedUntil maps the requests listed by the leader to the end of their refusal; zero for
	// those that need the leader's permission.
	refusedUntil map[poison.Digest]time.Time
	// losses are the runner losses that this router observed, by instance.
	losses map[string]*runnerLoss
	// unreported are the requests in progress at lost runners, and endings the outcomes of runs,
	// that are still to be reported.
	unreported map[string][]poison.Digest
	endings    []poison.Ending
}

type runnerLoss struct {
	at      time.Time
	digests map[poison.Digest]bool
}

func newSuspects() suspects {
	return suspects{
		refusedUntil: make(map[poison.Digest]time.Time),
		losses:       make(map[string]*runnerLoss),
		unreported:   make(map[string][]poison.Digest),
	}
}

// adopt replaces the leader's list.
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

// addLoss records that a request was in progress at a runner when its connection broke.
func (s *suspects) addLoss(now time.Time, instance string, digest poison.Digest) {
	s.forgetOld(now)
	known := s.losses[instance]
	if known == nil {
		if len(s.losses) >= maxLosses {
			return
		}
		known = &runnerLoss{at: now, digests: make(map[poison.Digest]bool)}
		s.losses[instance] = known
	}
	if known.digests[digest] || len(known.digests) >= maxLossDigests {
		return
	}
	known.digests[digest] = true
	s.unreported[instance] = append(s.unreported[instance], digest)
}

func (s *suspects) forgetOld(now time.Time) {
	for instance, each := range s.losses {
		if now.Sub(each.at) > lossTTL {
			delete(s.losses, instance)
		}
	}
}

// reportAgain schedules all remembered losses to be reported to a new leader.
func (s *suspects) reportAgain(now time.Time) {
	s.forgetOld(now)
	clear(s.unreported)
	for instance, each := range s.losses {
		for digest := range each.digests {
			s.unreported[instance] = append(s.unreported[instance], digest)
		}
	}
}

// isSuspected reports whether a request is listed or was in progress at a lost runner.
func (s *suspects) isSuspected(digest poison.Digest) bool {
	if _, isListed := s.refusedUntil[digest]; isListed {
		return true
	}
	for _, each := range s.losses {
		if each.digests[digest] {
			return true
		}
	}
	return false
}

// lossesOf returns the number of lost runners at which a request was in progress.
func (s *suspects) lossesOf(digest poison.Digest) int {
	count := 0
	for _, each := range s.losses {
		if each.digests[digest] {
			count++
		}
	}
	return count
}

// clear forgets the losses of a request that has completed.
func (s *suspects) clear(digest poison.Digest) {
	for instance, each := range s.losses {
		delete(each.digests, digest)
		if len(each.digests) == 0 {
			delete(s.losses, instance)
		}
	}
}

// take returns what is to be reported and resets it.
func (s *suspects) take() (losses []poison.Report, endings []poison.Ending) {
	for instance, digests := range s.unreported {
		losses = append(losses, poison.Report{Instance: instance, Digests: digests})
	}
	clear(s.unreported)
	endings, s.endings = s.endings, nil
	return losses, endings
}

// requeue restores what could not be reported.
func (s *suspects) requeue(losses []poison.Report, endings []poison.Ending) {
	for _, each := range losses {
		s.unreported[each.Instance] = append(each.Digests, s.unreported[each.Instance]...)
	}
	s.endings = append(endings, s.endings...)
	if excess := len(s.endings) - maxEndings; excess > 0 {
		s.endings = s.endings[excess:]
	}
}

// maxEndings bounds the endings that wait for a leader. The oldest are dropped first, as leaders
// end trials after a timeout.
const maxEndings = 1024

// localPermission returns what the router may do with a request without asking the leader.
func (r *Router) localPermission(digest poison.Digest) (permission poison.Permission, refusedFor time.Duration) {
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

// permit is the answer to a request for permission to send.
type permit struct {
	permission poison.Permission
	retryAfter time.Duration
	// err is the failure to ask the leader.
	err error
}

// isGranted reports whether the request may be sent.
func (p permit) isGranted() bool { return p.permission == poison.Free || p.isTrial() }

// isTrial reports whether the outcome of the run must be reported to the leader.
func (p permit) isTrial() bool { return p.permission == poison.Trial }

// requestPermit returns whether the request may be sent to the chosen runner. The leader decides on
// suspected requests, since other routers may hold the same request.
func (x *exchange) requestPermit(ctx context.Context, instance structs.RunnerID) permit {
	permission, refusedFor := x.router.localPermission(x.digest)
	if permission != poison.Trial {
		return permit{permission: permission, retryAfter: refusedFor}
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if x.trialID == "" {
		x.trialID = fmt.Sprintf("%s/%d", x.router.options.Name, x.router.trialIDs.Add(1))
	}
	arguments := domainapi.TryArguments{
		Router: x.router.options.Name, Digest: x.digest, Asker: x.trialID, Instance: string(instance),
	}
	reply, err := leadercall.Call(ctx, x.router.caller, domainapi.MethodTry, arguments,
		func() *domainapi.TryReply { return &domainapi.TryReply{} })
	if err != nil {
		return permit{permission: poison.Later, retryAfter: noLeaderRetryAfter, err: err}
	}
	return permit{permission: reply.Permission, retryAfter: reply.ComeBackIn}
}

// reportEnd queues for the leader what an attempt reveals about the request.
func (x *exchange) reportEnd(instance structs.RunnerID, isTrial bool, ended result) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ending := poison.Ending{Digest: x.digest, How: poison.Inconclusive}
	switch {
	case ended.isBroken() && r.zones.watch.IsLost(r.zones.watch.ZoneOf(instance)):
		// The zone was lost, not the runner.
		if !isTrial {
			return
		}
	case ended.isBroken():
		r.suspects.addLoss(r.now(), string(instance), x.digest)
		r.wakeReport()
		return
	case ended.isServed():
		if !isTrial && !r.suspects.isSuspected(x.digest) {
			return
		}
		r.suspects.clear(x.digest)
		ending.How = poison.Succeeded
	case !isTrial:
		return
	case ended.reason == reasonNotHeld || ended.reason == reasonShed:
		ending.How = poison.Rejected
	case ended.isNotRun:
		ending.How = poison.NotSent
	}
	r.suspects.endings = append(r.suspects.endings, ending)
	r.wakeReport()
}

const (
	// reasonCrashes means that the request is refused because it crashes runners, reasonTrial that
	// it has to wait for a trial.
	reasonCrashes = "crashes_runners"
	reasonTrial   = "trial_later"
)

// refuseSuspect answers a request that may not be sent. An error response received earlier is
// forwarded.
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
	if suppressed, allowed := x.router.suspectLog.Allow(time.Now()); allowed {
		level.Info(x.router.logger).Log("msg", "A request that may crash runners was not sent.", "request", x.request.ID,
			"content", x.digest, "route", x.route.Name, "outcome", reason, "attempts", x.attempts, "come_back_in", why.retryAfter,
			"age", x.router.age(x.request), "not_logged", suppressed, "err", why.err)
	}
	x.answerUnserved(why.retryAfter, message)
}

// maxSuspectLogRate bounds the log lines per second about requests that may crash runners.
const maxSuspectLogRate = 20
