package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	copiedEvents  = 10
	copiedGap     = 150 * time.Millisecond
	handleTTL     = 5 * time.Second
	copiedPath    = "/stream-once/x"
	resumablePath = "/stream/x"
	// formerRunGrace is how long a run may go on after its request goes on at another runner.
	formerRunGrace = 400 * time.Millisecond
)

var errReset = errors.New("connection reset")

// copyingRunners is a Backend of runners that copy the memory of streams to each other. The attempts are
// counted from 1. It fails the test if a request is sent to a runner while another one runs it, unless it goes on from a copy, and if
// the former run has not ended formerRunGrace after that.
type copyingRunners struct {
	c *qt.C
	// answer replaces the answer to an attempt unless it returns neither an answer nor an error.
	answer func(ctx context.Context, number int, attempt *Attempt) (*Answer, error)
	// connects and begins return how long it takes until an attempt is sent, and until its runner begins with it; nil for no time.
	connects, begins func(attempt *Attempt) time.Duration
	// cut returns the error with which the stream of an attempt ends in place of an event, if any.
	cut func(ctx context.Context, number, event int) error
	// first returns the first event of a continuation in place of the one after the caller's last.
	first func(next int) int

	mutex    sync.Mutex
	attempts []Attempt
	// starts counts the runs that began without a copy.
	starts int
	// active is the number of runs in progress, and running are their numbers.
	active  int
	running map[int]bool
	// copies are the copies at standbys, as ADDRESS/ID.
	copies map[string]bool
	// losesCopies is set if copies do not arrive, isConcurrent if several requests run at once.
	losesCopies, isConcurrent bool
}

func (f *copyingRunners) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	if err := waitFor(ctx, f.connects, attempt); err != nil || !attempt.MaySend() {
		return notSent()
	}
	if err := waitFor(ctx, f.begins, attempt); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.checkAlone(attempt)
	f.attempts = append(f.attempts, *attempt)
	number := len(f.attempts)
	if f.answer != nil {
		if answer, err := f.answer(ctx, number, attempt); answer != nil || err != nil {
			return answer, err
		}
	}
	next := int(attempt.ResumeAfter) + 1
	if attempt.ResumeAfter == NoEvent {
		next = 1
	}
	if attempt.IsContinuation {
		if !f.copies[attempt.Address+"/"+attempt.Request.ID] {
			return shed()
		}
		if f.first != nil {
			next = f.first(next)
		}
	} else {
		f.starts++
	}
	f.noteRun(number)
	answer, _ := stream("", nil)
	answer.Header.Set("Seal", attempt.Instance)
	answer.Body = &copiedRun{fleet: f, ctx: ctx, number: number, next: next, copyTo: attempt.CopyTo, id: attempt.Request.ID}
	return answer, nil
}

// waitFor waits for the time of an attempt; nil for none.
func waitFor(ctx context.Context, length func(*Attempt) time.Duration, attempt *Attempt) error {
	if length == nil {
		return nil
	}
	return sleepIn(ctx, length(attempt))
}

// checkAlone checks that no run goes on while a runner gets the request, unless it goes on from a copy of the only one. The caller must
// hold f.mutex.
func (f *copyingRunners) checkAlone(attempt *Attempt) {
	most := 0
	if attempt.IsContinuation {
		most = 1
	}
	f.c.Check(f.active <= most || f.isConcurrent, qt.IsTrue, qt.Commentf("%d runs go on while %s gets the request", f.active, attempt.Instance))
}

// noteRun records a run, and checks that the former one ends within formerRunGrace. The caller must hold f.mutex.
func (f *copyingRunners) noteRun(number int) {
	if f.running == nil {
		f.running = make(map[int]bool)
	}
	for former := range f.running {
		if f.isConcurrent {
			break
		}
		time.AfterFunc(formerRunGrace, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.c.Check(f.running[former], qt.IsFalse, qt.Commentf("run %d goes on %v after run %d began", former, formerRunGrace, number))
		})
	}
	f.active++
	f.running[number] = true
}

// copiedRun is the body of a run. Its memory is at the standby from its first event on.
type copiedRun struct {
	fleet        *copyingRunners
	ctx          context.Context
	number, next int
	copyTo, id   string
	isClosed     bool
}

func (b *copiedRun) Read(buffer []byte) (int, error) {
	select {
	case <-time.After(copiedGap):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if b.fleet.cut != nil {
		if err := b.fleet.cut(b.ctx, b.number, b.next); err != nil {
			return 0, err
		}
	}
	if b.next > copiedEvents {
		return 0, io.EOF
	}
	b.fleet.mutex.Lock()
	defer b.fleet.mutex.Unlock()
	if b.copyTo != "" && !b.fleet.losesCopies {
		b.fleet.copies[b.copyTo+"/"+b.id] = true
	}
	b.next++
	return copy(buffer, events(b.next-1, b.next-1)), nil
}

func (b *copiedRun) Close() error {
	b.fleet.mutex.Lock()
	defer b.fleet.mutex.Unlock()
	if !b.isClosed {
		b.isClosed = true
		b.fleet.active--
		delete(b.fleet.running, b.number)
	}
	return nil
}

// cutAt ends the stream of an attempt before an event.
func cutAt(number, event int) func(context.Context, int, int) error {
	return func(_ context.Context, at, next int) error {
		if at == number && next == event {
			return errReset
		}
		return nil
	}
}

// continuityRouter is a router whose engine runners copy streams, with the metrics that it counts.
type continuityRouter struct {
	*Router
	runners  *copyingRunners
	registry *prometheus.Registry
}

func continuityDocument(version uint64) *site.Document {
	document := testDocument()
	document.Version = version
	engine := document.Services[1].Engine
	engine.Backups, engine.TokenBytes, engine.LinkMbps, engine.HandleTTL = true, 163840, 100_000, handleTTL
	return document
}

// continuityView lists one runner of the engine service in each zone.
func continuityView(zones ...string) fleet.View {
	view := fleet.View{Complete: true}
	for _, zone := range zones {
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: "e-" + zone, Service: "engine", Address: "at-" + zone, Zone: zone, Slots: 8, Models: []fleet.LoadedModel{{Name: "m"}},
		})
	}
	return view
}

// newContinuityRouter returns a router over runners in the zones n1, n2 and n3 of one region.
func newContinuityRouter(c *qt.C) *continuityRouter {
	c.Helper()
	runners := &copyingRunners{c: c, copies: make(map[string]bool)}
	registry := prometheus.NewRegistry()
	router := newRunningRouter(Options{
		Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return nil }, Backend: runners, Metrics: registry,
		Retry:   RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
		Regions: map[structs.ZoneID]string{"n1": "north", "n2": "north", "n3": "north", "s1": "south"},
	})
	router.routerCount = *settledCount(1, time.Now())
	router.adoptDocument(continuityDocument(1))
	router.adoptView(continuityView("n1", "n2", "n3"))
	return &continuityRouter{Router: router, runners: runners, registry: registry}
}

// askSized sends a request of the given size.
func (r *continuityRouter) askSized(ctx context.Context, path string, size Size) (recorder *httptest.ResponseRecorder, aborted bool) {
	return r.askRequest(ctx, path, "id", size)
}

// askNamed sends a short request with the given ID.
func (r *continuityRouter) askNamed(ctx context.Context, id string) (recorder *httptest.ResponseRecorder, aborted bool) {
	return r.askRequest(ctx, copiedPath, id, Size{Tokens: 200, Prompt: 100, Answer: 100})
}

func (r *continuityRouter) askRequest(ctx context.Context, path, id string, size Size) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	defer func() {
		if problem := recover(); problem != nil {
			if problem != http.ErrAbortHandler {
				panic(problem)
			}
			aborted = true
		}
	}()
	r.Serve(recorder, &Request{
		HTTP: httptest.NewRequest(http.MethodPost, "http://h"+path, nil).WithContext(ctx), ID: id, Arrived: time.Now(),
		Wait: 9 * time.Second, Model: "m", ResumeAfter: NoEvent, Size: size,
	})
	return recorder, false
}

// ask sends a short request that is copied on a calm day.
func (r *continuityRouter) ask(ctx context.Context, path string) (recorder *httptest.ResponseRecorder, aborted bool) {
	return r.askSized(ctx, path, Size{Tokens: 200, Prompt: 100, Answer: 100})
}

// counted returns the counts of a metric by the value of its only label.
func (r *continuityRouter) counted(name string) map[string]float64 {
	found := make(map[string]float64)
	families, err := r.registry.Gather()
	r.runners.c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() != "lotusferry_router_"+name {
			continue
		}
		for _, each := range family.GetMetric() {
			found[each.GetLabel()[0].GetValue()] = each.GetCounter().GetValue()
		}
	}
	return found
}

// countedRequests returns the requests counted by outcome.
func (r *continuityRouter) countedRequests() map[string]float64 {
	found := make(map[string]float64)
	families, err := r.registry.Gather()
	r.runners.c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() != "lotusferry_router_requests_total" {
			continue
		}
		for _, each := range family.GetMetric() {
			for _, label := range each.GetLabel() {
				if label.GetName() == "outcome" {
					found[label.GetValue()] += each.GetCounter().GetValue()
				}
			}
		}
	}
	return found
}

// checkWhole checks that the answer is complete, with the head of the runner that sent it.
func (r *continuityRouter) checkWhole(recorder *httptest.ResponseRecorder, aborted bool, headOf int) {
	c := r.runners.c
	c.Helper()
	c.Assert(aborted, qt.IsFalse)
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	c.Assert(recorder.Body.String(), qt.Equals, events(1, copiedEvents))
	c.Assert(recorder.Header().Get("Seal"), qt.Equals, r.runners.attempts[headOf-1].Instance)
}

// checkIdle checks that no run goes on and that all attempts and copies were released.
func (r *continuityRouter) checkIdle() {
	c := r.runners.c
	c.Helper()
	c.Assert(r.runners.active, qt.Equals, 0)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for row, state := range r.rows {
		c.Check(state.active, qt.HasLen, 0, qt.Commentf("%v", row))
	}
	c.Check(r.copies.owners, qt.HasLen, 0)
}

// describe lists the attempts for messages of failed checks.
func (f *copyingRunners) describe() string {
	text := ""
	for _, each := range f.attempts {
		text += fmt.Sprintf("%s copy=%s continued=%t after=%d; ", each.Instance, each.CopyTo, each.IsContinuation, each.ResumeAfter)
	}
	return text
}
