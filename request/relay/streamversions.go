package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/versions"
)

const (
	// minNoteInterval and noteIntervalPerRouter bound the messages about streams that all routers send to registrars.
	minNoteInterval       = 20 * time.Millisecond
	noteIntervalPerRouter = 250 * time.Microsecond
	// noteTimeout bounds a message to a registrar, and findTimeout a question to all of them.
	noteTimeout = 400 * time.Millisecond
	findTimeout = 250 * time.Millisecond
	// takeUpMargin is how much longer a stream may be taken up than its caller said to wait.
	takeUpMargin = 2 * time.Second
	// maxTakeUpLogRate bounds the log lines per second about streams that are taken up.
	maxTakeUpLogRate = 20
)

// streamVersions is what the router knows of the software versions that began streams. It is guarded by Router.mutex,
// except for wake.
type streamVersions struct {
	// mixed are the services with runners of several versions, as the leader said last.
	mixed []string
	// only are the versions of the services with runners of one version alone, as the leader said last.
	only map[string]string
	// saidAt is a time before the leader said so.
	saidAt time.Time
	// outbox holds the streams that this router began, running those that are in progress.
	outbox  *versions.Outbox
	running map[*exchange]versions.Record
	// registrars are the addresses of the controllers.
	registrars []string
	// stale fires once isLeaderStale holds; nil before the first view.
	stale *time.Timer
	// wake triggers a message to the registrars.
	wake       chan struct{}
	logLimiter *asynclog.Limiter
}

func newStreamVersions(name string) streamVersions {
	return streamVersions{
		outbox: versions.NewOutbox(name), running: make(map[*exchange]versions.Record), wake: make(chan struct{}, 1),
		logLimiter: asynclog.NewLimiter(maxTakeUpLogRate),
	}
}

// setRegistrars sets the addresses of the controllers.
func (r *Router) setRegistrars(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.streams.registrars = slices.Clone(addresses)
}

// isVersionCertain reports whether runners of one software version alone serve the service, and did while a stream that is still
// in progress can have begun. The caller must hold r.mutex.
func (r *Router) isVersionCertain(service string) bool {
	return !r.isLeaderStale() && !slices.Contains(r.streams.mixed, service)
}

// areVersionsCertain reports whether isVersionCertain holds for all services. The caller must hold r.mutex.
func (r *Router) areVersionsCertain() bool { return !r.isLeaderStale() && len(r.streams.mixed) == 0 }

// isLeaderStale reports whether what the leader said last was said too long ago to know of all versions. The caller must hold r.mutex.
func (r *Router) isLeaderStale() bool { return r.now().Sub(r.streams.saidAt) > versions.CertainTime }

// knowsAllRunners reports whether a runner that the router does not know is not there: the leader was heard lately, and had heard of
// all runners. The caller must hold r.mutex.
func (r *Router) knowsAllRunners() bool { return !r.isLeaderStale() && r.fleet.IsComplete() }

// isVersionGone reports whether a waiting request is bound to a software version that no runner of its row has any more. What the
// router cannot know is not gone. While runners of that version alone serve, a request that was not sent may wait for the row
// to be loaded. The caller must hold r.mutex.
func (r *Router) isVersionGone(wanted *waiter) bool {
	version := wanted.work.Version
	if version == "" || !r.knowsAllRunners() || r.balancer.HasVersion(rowName(wanted.row), version, wanted.work.Zones) {
		return false
	}
	service := wanted.row.Service
	mayBeLoaded := r.isVersionCertain(service) && r.streams.only[service] == version
	return !(wanted.mayDefer && mayBeLoaded)
}

// adoptVersions takes over which services have runners of several versions, and the only versions of the others, as the leader said at
// the given time or later: what the router reads may have been under way for long. The caller must hold r.mutex.
func (r *Router) adoptVersions(saidAt time.Time, mixed []string, only map[string]string) {
	if !slices.Equal(mixed, r.streams.mixed) {
		level.Info(r.logger).Log("msg", "The services with runners of several software versions change.", "services", len(mixed), "before", len(r.streams.mixed))
		r.metrics.mixedServices.Set(float64(len(mixed)))
	}
	r.streams.mixed, r.streams.only, r.streams.saidAt = mixed, only, saidAt
	untilStale := saidAt.Add(versions.CertainTime).Sub(r.now())
	if r.streams.stale == nil {
		r.streams.stale = time.AfterFunc(untilStale, r.noteStaleLeader)
	} else {
		r.streams.stale.Reset(untilStale)
	}
	r.noteRunningStreams()
}

// noteStaleLeader has the streams in progress noted, as runners of other versions may come unheard.
func (r *Router) noteStaleLeader() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteRunningStreams()
}

// noteRunningStreams adds the streams in progress whose version is not certain any more to the outbox. The caller must hold
// r.mutex.
func (r *Router) noteRunningStreams() {
	if r.areVersionsCertain() {
		return
	}
	for _, record := range r.streams.running {
		if !r.isVersionCertain(record.Service) {
			r.noteStream(record)
		}
	}
}

// noteStream has the registrars told of a stream. The caller must hold r.mutex.
func (r *Router) noteStream(record versions.Record) {
	r.streams.outbox.Add(r.now(), record)
	wake.Up(r.streams.wake)
}

// noteLoop tells registrars of the streams that this router began, while their versions are not certain, until ctx ends.
func (r *Router) noteLoop(ctx context.Context) {
	for {
		select {
		case <-r.streams.wake:
		case <-ctx.Done():
			return
		}
		for again := r.sendNotes(ctx); again > 0; again = r.sendNotes(ctx) {
			if !pause.For(ctx, again) {
				return
			}
		}
	}
}

// sendNotes sends what the registrars lack. It returns the time until the next message; 0 if they lacked nothing.
func (r *Router) sendNotes(ctx context.Context) time.Duration {
	r.mutex.Lock()
	interval := max(minNoteInterval, time.Duration(r.routerCount.routers)*noteIntervalPerRouter)
	var batches []versions.Batch
	if !r.areVersionsCertain() {
		batches = r.streams.outbox.Due(r.now(), r.streams.registrars)
	}
	r.mutex.Unlock()
	if len(batches) == 0 {
		return 0
	}
	var sending sync.WaitGroup
	for _, batch := range batches {
		sending.Go(func() { r.sendBatch(ctx, batch) })
	}
	sending.Wait()
	return interval
}

func (r *Router) sendBatch(ctx context.Context, batch versions.Batch) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	arguments := domainapi.NoteStreamsArguments{Router: r.options.Name, Records: batch.Records}
	var reply domainapi.NoteStreamsReply
	err := r.client.Call(ctx, batch.Address, domainapi.MethodNoteStreams, arguments, &reply)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		r.metrics.streamNotes.WithLabelValues("failed").Add(float64(len(batch.Records)))
		r.streams.outbox.Failed(r.now(), batch)
		return
	}
	r.metrics.streamNotes.WithLabelValues("sent").Add(float64(len(batch.Records)))
	r.streams.outbox.Acknowledge(batch, reply.Epoch)
}

// foundStream is what registrars know of a stream.
type foundStream struct {
	record  versions.Record
	isFound bool
	// only is the version that alone can have begun the stream, as the leader said; empty if it did not.
	only string
	// silent counts the registrars that did not answer.
	silent int
}

// findStream asks all registrars for the record of a stream that may have begun at the service, at most for findTimeout.
func (r *Router) findStream(ctx context.Context, id, service string) (found foundStream) {
	r.mutex.Lock()
	registrars := r.streams.registrars
	r.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	arguments := domainapi.FindStreamArguments{ID: id, Service: service}
	replies := make(chan *domainapi.FindStreamReply, len(registrars))
	for _, address := range registrars {
		go func() {
			reply := &domainapi.FindStreamReply{}
			if err := r.client.Call(ctx, address, domainapi.MethodFindStream, arguments, reply); err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range registrars {
		switch reply := <-replies; {
		case reply == nil:
			found.silent++
		case reply.IsFound:
			found.record, found.isFound = reply.Record, true
			return found
		case reply.Only != "":
			found.only = reply.Only
		}
	}
	return found
}
