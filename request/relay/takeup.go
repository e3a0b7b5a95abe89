package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/placement/versions"
)

const (
	// reasonVersionUnknown means that nobody knows which software version began the stream, reasonVersionGone that no runner
	// of that version holds its model any more, reasonVersionLater that the router cannot know that yet.
	reasonVersionUnknown = "version_unknown"
	reasonVersionGone    = "version_gone"
	reasonVersionLater   = "version_later"
)

// isTakenUp reports whether the client has events of the stream from an earlier attempt.
func (r *Request) isTakenUp() bool { return r.FirstAttemptID != "" || r.ResumeAfter != NoEvent }

// bindVersion decides at which software version a stream goes on that its client takes up. It answers the request and returns
// false if that cannot be known, or no runner of the version is left.
func (x *exchange) bindVersion(ctx context.Context) bool {
	if x.route.Kind != site.KindStream || !x.request.isTakenUp() {
		return true
	}
	facts := x.localFacts()
	verdict := versions.Decide(facts)
	if verdict == versions.VerdictAsk {
		found := x.router.findStream(ctx, x.request.FirstAttemptID, x.row.Service)
		facts.IsAsked, facts.IsFound, facts.Silent = true, found.isFound, found.silent
		x.refreshFacts(&facts)
		switch {
		case found.isFound:
			x.adoptRecord(found.record, &facts)
		case found.only != "" && len(x.route.Split) == 1:
			facts.IsCertain, facts.OnlyVersion = true, found.only
		}
		verdict = versions.Decide(facts)
	}
	x.logTakeUp(facts, verdict)
	switch verdict {
	case versions.VerdictUnknown:
		x.rejectTakeUp(reasonVersionUnknown, 0, "nobody knows which software version began the stream")
		return false
	case versions.VerdictGone:
		if !facts.IsForeign && !x.hasRunners() {
			x.rejectNoRegion()
			return false
		}
		x.rejectTakeUp(reasonVersionGone, 0, "no runner of the software version that began the stream is left")
		return false
	case versions.VerdictLater:
		x.rejectTakeUp(reasonVersionLater, minRetryAfter, "the software version that began the stream is not known here yet")
		return false
	case versions.VerdictVersion:
		x.boundVersion = facts.Version
	case versions.VerdictOnly:
		x.boundVersion = facts.OnlyVersion
	}
	return true
}

// localFacts returns what the router itself knows of the stream.
func (x *exchange) localFacts() versions.Facts {
	r := x.router
	r.mutex.Lock()
	facts := versions.Facts{IsNamed: x.request.FirstAttemptID != ""}
	r.setVersionFacts(x.row.Service, &facts)
	record, isFound := r.streams.outbox.Find(r.now(), x.request.FirstAttemptID)
	r.mutex.Unlock()
	if isFound {
		facts.IsFound = true
		x.adoptRecord(record, &facts)
	}
	return facts
}

// refreshFacts replaces what may have changed while the registrars were asked.
func (x *exchange) refreshFacts(facts *versions.Facts) {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setVersionFacts(x.row.Service, facts)
}

// setVersionFacts sets what the router knows of the versions of a service. The caller must hold r.mutex.
func (r *Router) setVersionFacts(service string, facts *versions.Facts) {
	facts.HasLeader, facts.IsComplete = !r.isLeaderStale(), r.fleet.IsComplete()
	facts.IsCertain, facts.OnlyVersion = r.isVersionCertain(service), r.streams.only[service]
}

// adoptRecord adds a record of the stream to the facts. The stream goes on at the service that began it, and cannot if the route does
// not lead there any more: versions of two services have nothing in common but the name.
func (x *exchange) adoptRecord(record versions.Record, facts *versions.Facts) {
	facts.Version, facts.IsForeign = record.Version, !x.route.LeadsTo(record.Service)
	if facts.IsForeign {
		return
	}
	if record.Service != x.row.Service {
		x.setService(record.Service)
	}
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.trackModel(x.row)
	facts.IsServed = r.balancer.HasVersion(rowName(x.row), record.Version, x.regions.allowedZones())
}

// rejectTakeUp tells the caller that the stream cannot go on here. Without a time to come back it must begin anew.
func (x *exchange) rejectTakeUp(reason string, after time.Duration, message string) {
	x.count(reason)
	x.logUnserved(reason, http.StatusServiceUnavailable, nil)
	reject(x.writer, http.StatusServiceUnavailable, after, message)
}

func (x *exchange) logTakeUp(facts versions.Facts, verdict versions.Verdict) {
	x.router.metrics.takeUps.WithLabelValues(verdict.String()).Inc()
	suppressed, isAllowed := x.router.streams.logLimiter.Allow(x.router.now())
	if !isAllowed {
		return
	}
	level.Info(x.router.logger).Log("msg", "A stream is taken up.", "request", x.request.ID, "resumes", x.request.FirstAttemptID, "service", x.row.Service,
		"model", x.row.Model, "last_event", x.request.ResumeAfter, "verdict", verdict, "began_at", facts.Version, "asked", facts.IsAsked, "silent", facts.Silent, "complete", facts.IsComplete,
		"one_version", facts.IsCertain, "age", x.router.age(x.request), "not_logged", suppressed)
}

// noteBegun records that the caller gets the first event of this answer: from now on the stream goes on at the version of the
// runner that wrote it.
func (x *exchange) noteBegun() {
	x.boundVersion = x.runnerVersion
	if x.boundVersion == "" || !x.route.Resumable {
		return
	}
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := x.streamRecord()
	r.streams.running[x] = record
	if !r.isVersionCertain(x.row.Service) {
		r.noteStream(record)
	}
}

// noteEnded records the end of the answer. A stream that broke may be taken up.
func (x *exchange) noteEnded() {
	r := x.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record, isRunning := r.streams.running[x]
	if !isRunning {
		return
	}
	delete(r.streams.running, x)
	if !x.isWhole {
		record.TTL = x.takeUpTime()
		r.noteStream(record)
	}
}

// streamRecord returns the record of the stream for routers at which it is taken up.
func (x *exchange) streamRecord() versions.Record {
	id := x.request.FirstAttemptID
	if id == "" {
		id = x.request.ID
	}
	return versions.Record{ID: id, Service: x.row.Service, Version: x.boundVersion, TTL: x.takeUpTime()}
}

// takeUpTime returns for how much longer the stream may be taken up.
func (x *exchange) takeUpTime() time.Duration {
	until := x.request.Arrived.Add(max(x.request.Wait, x.route.Timeout) + takeUpMargin)
	return until.Sub(x.router.now())
}
