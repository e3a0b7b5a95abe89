package relay

import (
	"context"
	"fmt"
	"slices"
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
	maxLossDigests = 1024
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

// suspects tracks the requests, and the parts of prompts, that may crash runners. It is guarded by Router.mutex.
type suspects struct {
	// refusedUntil maps the suspects listed by the leader to the end of their refusal; zero for
	// those that need the leader's permission.
	refusedUntil map[poison.Digest]time.Time
	// losses are the runner losses that this router observed, by instance, and lossCounts the number of them at which each
	// digest was in progress.
	losses     map[string]*runnerLoss
	lossCounts map[poison.Digest]int
	// unreported are the digests in progress at lost runners, and endings the outcomes of runs,
	// that are still to be reported.
	unreported map[string]*poison.Report
	endings    []poison.Ending
}

// runnerLoss is a lost runner, with the digests of the requests in progress there. Those of parts are marked.
type runnerLoss struct {
	at     time.Time
	isPart map[poison.Digest]bool
}

// suspectKeys are the digests by which a request may be suspected.
type suspectKeys struct {
	content poison.Digest
	parts   []poison.Digest
}

// all returns the digests, that of the content first.
func (k suspectKeys) all() []poison.Digest { return append([]poison.Digest{k.content}, k.parts...) }

func newSuspects() suspects {
	return suspects{
		refusedUntil: make(map[poison.Digest]time.Time),
		losses:       make(map[string]*runnerLoss),
		lossCounts:   make(map[poison.Digest]int),
		unreported:   make(map[string]*poison.Report),
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

// addLoss records that a request was in progress at a runner when its connection broke. That of a trial is reported even if the
// runner was lost before: the leader may have learnt that it was not, and waits for the end of the trial.
func (s *suspects) addLoss(now time.Time, instance string, keys suspectKeys, isTrial bool) {
	s.forgetOld(now)
	known := s.losses[instance]
	if known == nil {
		if len(s.losses) >= maxLosses {
			return
		}
		known = &runnerLoss{at: now, isPart: make(map[poison.Digest]bool)}
		s.losses[instance] = known
	}
	s.addDigest(known, instance, keys.content, false, isTrial)
	for _, part := range keys.parts {
		s.addDigest(known, instance, part, true, isTrial)
	}
}

// addDigest adds a digest to a loss, and to what is to be reported of it.
func (s *suspects) addDigest(lost *runnerLoss, instance string, digest poison.Digest, isPart, isTrial bool) {
	_, isKnown := lost.isPart[digest]
	switch {
	case isKnown && isTrial:
		s.reportDigest(instance, digest, isPart)
		return
	case isKnown || len(lost.isPart) >= maxLossDigests:
		return
	}
	lost.isPart[digest] = isPart
	s.lossCounts[digest]++
	s.reportDigest(instance, digest, isPart)
}

func (s *suspects) reportDigest(instance string, digest poison.Digest, isPart bool) {
	report := s.unreported[instance]
	if report == nil {
		report = &poison.Report{Instance: instance}
		s.unreported[instance] = report
	}
	if isPart {
		report.Parts = append(report.Parts, digest)
	} else {
		report.Digests = append(report.Digests, digest)
	}
}

func (s *suspects) forgetOld(now time.Time) {
	for instance, each := range s.losses {
		if now.Sub(each.at) > lossTTL {
			for digest := range each.isPart {
				s.uncount(digest)
			}
			delete(s.losses, instance)
		}
	}
}

// uncount removes a digest from one loss in lossCounts.
func (s *suspects) uncount(digest poison.Digest) {
	s.lossCounts[digest]--
	if s.lossCounts[digest] <= 0 {
		delete(s.lossCounts, digest)
	}
}

// reportAgain schedules all remembered losses to be reported to a new leader.
func (s *suspects) reportAgain(now time.Time) {
	s.forgetOld(now)
	clear(s.unreported)
	for instance, each := range s.losses {
		for digest, isPart := range each.isPart {
			s.reportDigest(instance, digest, isPart)
		}
	}
}

// isEmpty reports whether no digest is suspected.
func (s *suspects) isEmpty() bool { return len(s.refusedUntil) == 0 && len(s.lossCounts) == 0 }

// isSuspected reports whether a digest is listed or was in progress at a lost runner.
func (s *suspects) isSuspected(digest poison.Digest) bool {
	_, isListed := s.refusedUntil[digest]
	return isListed || s.lossCounts[digest] > 0
}

// listed returns those of the digests that the leader lists, in their order.
func (s *suspects) listed(digests []poison.Digest) (listed []poison.Digest) {
	for _, digest := range digests {
		if _, isListed := s.refusedUntil[digest]; isListed {
			listed = append(listed, digest)
		}
	}
	return listed
}

// lossesOf returns the number of lost runners at which a request was in progress.
func (s *suspects) lossesOf(digest poison.Digest) int { return s.lossCounts[digest] }

// clear forgets the losses of a digest whose request has completed.
func (s *suspects) clear(digest poison.Digest) {
	if s.lossCounts[digest] == 0 {
		return
	}
	delete(s.lossCounts, digest)
	for instance, each := range s.losses {
		delete(each.isPart, digest)
		if len(each.isPart) == 0 {
			delete(s.losses, instance)
		}
	}
}

// take returns what is to be reported and resets it.
func (s *suspects) take() (losses []poison.Report, endings []poison.Ending) {
	for _, report := range s.unreported {
		losses = append(losses, *report)
	}
	clear(s.unreported)
	endings, s.endings = s.endings, nil
	return losses, endings
}

// requeue restores what could not be reported.
func (s *suspects) requeue(losses []poison.Report, endings []poison.Ending) {
	for _, each := range losses {
		if later := s.unreported[each.Instance]; later != nil {
			each.Digests, each.Parts = append(each.Digests, later.Digests...), append(each.Parts, later.Parts...)
		}
		s.unreported[each.Instance] = &each
	}
	s.endings = append(endings, s.endings...)
	if excess := len(s.endings) - maxEndings; excess > 0 {
		s.endings = s.endings[excess:]
	}
}

// maxEndings bounds the endings that wait for a leader. The oldest are dropped first, as leaders
// end trials after a timeout.
const maxEndings = 1024

// localPermission returns what the router may do with a request without asking the leader, and the suspect that decides it.
func (r *Router) localPermission(keys suspectKeys) (found poison.Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.suspects.refusedUntil) == 0 {
		return poison.Decision{Permission: poison.Free}
	}
	for _, digest := range r.suspects.listed(keys.all()) {
		found = poison.Decision{Permission: poison.Trial, Subject: digest}
		if left := r.suspects.refusedUntil[digest].Sub(r.now()); left > 0 {
			return poison.Decision{Permission: poison.Refused, RetryAfter: left, Subject: digest}
		}
	}
	return found
}

// permit is the answer to a request for permission to send.
type permit struct {
	permission poison.Permission
	retryAfter time.Duration
	// subject is the suspect that the permission is about.
	subject poison.Digest
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
	known := x.router.localPermission(x.keys)
	if known.Permission != poison.Trial {
		return permit{permission: known.Permission, retryAfter: known.RetryAfter, subject: known.Subject}
	}
	// The question outlives the caller: the leader holds others back until it is told how a permitted trial ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()
	if x.trialID == "" {
		x.trialID = fmt.Sprintf("%s/%d", x.router.options.Name, x.router.trialIDs.Add(1))
	}
	arguments := domainapi.TryArguments{
		Router: x.router.options.Name, Digest: x.keys.content, Digests: x.keys.all(), Asker: x.trialID, Instance: string(instance),
	}
	reply, err := leadercall.Call(ctx, x.router.caller, domainapi.MethodTry, arguments,
		func() *domainapi.TryReply { return &domainapi.TryReply{} })
	if err != nil {
		x.returnPermit(instance)
		return permit{permission: poison.Later, retryAfter: noLeaderRetryAfter, err: err}
	}
	return permit{permission: reply.Permission, retryAfter: reply.ComeBackIn, subject: reply.Subject}
}

// returnPermit tells the leader that the request is not sent, whatever it may be on trial for: the leader's answer was lost.
func (x *exchange) returnPermit(instance structs.RunnerID) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, digest := range r.suspects.listed(x.keys.all()) {
		r.suspects.endings = append(r.suspects.endings, x.endingOf(digest, poison.NotSent, instance))
	}
	r.wakeReport()
}

// endingOf returns the ending of an attempt of the request at a runner.
func (x *exchange) endingOf(suspect poison.Digest, how poison.Outcome, instance structs.RunnerID) poison.Ending {
	return poison.Ending{Digest: suspect, How: how, Instance: string(instance), Asker: x.trialID}
}

// reportEnd queues for the leader what an attempt reveals about the request and the parts of its prompt.
func (x *exchange) reportEnd(instance structs.RunnerID, given permit, ended result) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	how := poison.Inconclusive
	switch {
	case ended.isBroken() && r.zones.watch.IsLost(r.zones.watch.ZoneOf(instance)):
		// The zone was lost, not the runner.
	case ended.isBroken():
		r.suspects.addLoss(r.now(), string(instance), x.keys, given.isTrial())
		r.wakeReport()
		return
	case ended.isServed():
		x.reportServed(given)
		return
	case ended.reason == reasonNotHeld || ended.reason == reasonShed:
		how = poison.Rejected
	case ended.isNotRun:
		how = poison.NotSent
	}
	if given.isTrial() {
		r.suspects.endings = append(r.suspects.endings, x.endingOf(x.trialSubject(given), how, instance))
		r.wakeReport()
	}
}

// reportServed clears the request and the parts of its prompt, as far as they were suspected. The caller must hold the
// router's mutex.
func (x *exchange) reportServed(given permit) {
	suspects := &x.router.suspects
	if suspects.isEmpty() && !given.isTrial() {
		return
	}
	for _, digest := range x.keys.all() {
		if !suspects.isSuspected(digest) && !(given.isTrial() && digest == x.trialSubject(given)) {
			continue
		}
		suspects.clear(digest)
		suspects.endings = append(suspects.endings, poison.Ending{Digest: digest, How: poison.Succeeded})
		x.router.wakeReport()
	}
}

// trialSubject returns the suspect of a trial. A leader of the previous version tries only the whole content.
func (x *exchange) trialSubject(given permit) poison.Digest {
	if given.subject == (poison.Digest{}) {
		return x.keys.content
	}
	return given.subject
}

const (
	// reasonCrashes means that the request is refused because it crashes runners, reasonPartCrashes that a part of its prompt
	// does, and reasonTrial that it has to wait for a trial.
	reasonCrashes     = "crashes_runners"
	reasonPartCrashes = "part_crashes_runners"
	reasonTrial       = "trial_later"
)

// refusalOf returns the reason for a refusal and the text for the caller.
func (x *exchange) refusalOf(why permit) (reason, message string) {
	isPart := slices.Contains(x.keys.parts, why.subject)
	switch {
	case why.permission == poison.Later && isPart:
		return reasonTrial, "runners that ran requests with a part of this prompt have crashed: one such request is tried at a time, come back later"
	case why.permission == poison.Later:
		return reasonTrial, "runners that ran this request have crashed: it is tried by itself, come back later"
	case isPart:
		return reasonPartCrashes, "runners that ran requests with a part of this prompt have crashed: change the prompt, or ask the operators of the site"
	}
	return reasonCrashes, "runners that ran this request have crashed: change the request, or ask the operators of the site"
}

// refuseSuspect answers a request that may not be sent. An error response received earlier is
// forwarded.
func (x *exchange) refuseSuspect(why permit, last result) {
	reason, message := x.refusalOf(why)
	if last.answer != nil && !x.isStarted {
		x.conclude(last)
		return
	}
	x.count(reason)
	status := x.unservedStatus()
	if suppressed, allowed := x.router.suspectLog.Allow(time.Now()); allowed {
		level.Info(x.router.logger).Log("msg", "A request that may crash runners was not sent.", "request", x.request.ID,
			"content", x.keys.content, "suspect", why.subject, "route", x.route.Name, "outcome", reason, "answered", status, "runs", x.attempts, "come_back_in", why.retryAfter,
			"age", x.router.age(x.request), "not_logged", suppressed, "err", why.err)
	}
	x.answerUnserved(status, why.retryAfter, message)
}

// maxSuspectLogRate bounds the log lines per second about requests that may crash runners.
const maxSuspectLogRate = 20
