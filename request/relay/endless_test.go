package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// endlessBytes is how much of a body without end a runner of a test sends before it falls silent, so that a router that reads all
// of it ends the test by its deadline.
const endlessBytes = 8 << 20

// endlessBody yields a beginning and then the same part over and over, until so many bytes have been read. It then waits for the end
// of the attempt.
type endlessBody struct {
	ctx   context.Context
	begun io.Reader
	part  string
	// read counts the bytes of all bodies of a test.
	read *atomic.Int64
	left int
}

func (b *endlessBody) Read(buffer []byte) (int, error) {
	count, err := b.begun.Read(buffer)
	if err != io.EOF {
		b.read.Add(int64(count))
		return count, err
	}
	if b.left <= 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	for count < len(buffer) && b.left > 0 {
		added := copy(buffer[count:], b.part)
		count, b.left = count+added, b.left-added
	}
	b.read.Add(int64(count))
	return count, nil
}

func (b *endlessBody) Close() error { return nil }

// tricklingBody yields the same part again and again, with pauses, and then the rest. It ends with the attempt.
type tricklingBody struct {
	ctx   context.Context
	part  string
	pause time.Duration
	// times is how often the part comes.
	times int
	rest  io.Reader
}

func (b *tricklingBody) Read(buffer []byte) (int, error) {
	if b.times <= 0 {
		return b.rest.Read(buffer)
	}
	b.times--
	if !pause.For(b.ctx, b.pause) {
		return 0, b.ctx.Err()
	}
	return copy(buffer, b.part), nil
}

func (b *tricklingBody) Close() error { return nil }

// endlessCase is an answer without end and what its caller gets.
type endlessCase struct {
	name, path string
	status     int
	isStream   bool
	// isUnsigned is set if the answer lacks the runner's signature.
	isUnsigned bool
	// length is the declared length; 0 for none.
	length int64
	// begun is the text before the part that comes without end.
	begun, part string
	// isOnce is set if only the first runner answers without end. The next one sends all that is missing.
	isOnce bool
	// wantStatus is the status that the caller gets, or 0 for a connection that is closed inside the answer; reason is the outcome
	// of the attempt.
	wantStatus, wantSends int
	reason                string
	// mostRead are the most bytes that may be read of each runner.
	mostRead int64
	// sent is how much the runner sends before it falls silent; 0 for endlessBytes.
	sent int
}

func (e *endlessCase) send(ctx context.Context, read *atomic.Int64) *Answer {
	answer := &Answer{
		Status: e.status, Header: http.Header{"Content-Type": {"text/plain"}}, Length: -1, Signed: !e.isUnsigned, IsStream: e.isStream,
		Body: &endlessBody{ctx: ctx, begun: strings.NewReader(e.begun), part: e.part, read: read, left: max(e.sent, endlessBytes)},
	}
	if e.length > 0 {
		answer.Length = e.length
	}
	return answer
}

// testEndless checks that an answer without end is at an end at once, and is no sign that its request crashes runners.
func testEndless(t *testing.T, test endlessCase) {
	t.Helper()
	t.Run(test.name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			var read atomic.Int64
			sends := 0
			router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
				sends++
				switch {
				case sends == 1 || !test.isOnce:
					return test.send(ctx, &read), nil
				case test.isStream:
					return stream(events(1, 4), io.EOF)
				}
				return fine()
			})
			began := time.Now()
			recorder, aborted := ask(router, t.Context(), test.path, "m")
			c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
			c.Check(aborted, qt.Equals, test.wantStatus == 0)
			if !aborted {
				c.Check(recorder.Code, qt.Equals, test.wantStatus)
			}
			c.Check(backend.attempts, qt.HasLen, test.wantSends)
			c.Check(read.Load() <= test.mostRead*int64(test.wantSends), qt.IsTrue, qt.Commentf("%d bytes were read", read.Load()))
			losses, _ := router.suspects.take()
			c.Check(losses, qt.HasLen, 0)
			c.Check(attemptsBy(c, router)[test.reason] > 0, qt.IsTrue)
		})
	})
}

// attemptsBy returns the attempts of a router by their outcomes.
func attemptsBy(c *qt.C, router *Router) map[string]float64 {
	c.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(router.metrics.attempts)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	counts := make(map[string]float64)
	for _, family := range families {
		for _, each := range family.GetMetric() {
			counts[each.GetLabel()[0].GetValue()] = each.GetCounter().GetValue()
		}
	}
	return counts
}

// Guards against an event without end that is held in memory, and looked through again at each read, until the deadline.
func TestEventWithoutEndEndsTheAttempt(t *testing.T) {
	const most = maxEventBytes + 2*streamBuffer
	for _, test := range []endlessCase{
		{name: "first event", path: "/stream-once/x", part: "data: x", wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "lines of the first event", path: "/stream-once/x", part: "data: x\n", wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "later event", path: "/stream-once/x", begun: events(1, 2), part: "x", wantSends: 1},
		{name: "first event, may be sent again", path: "/stream/x", part: "x", isOnce: true, wantStatus: http.StatusOK, wantSends: 2},
		{name: "later event, may be continued", path: "/stream/x", begun: events(1, 2), part: "x", isOnce: true, wantStatus: http.StatusOK, wantSends: 2},
		{name: "at all runners", path: "/stream/x", part: "x", wantStatus: http.StatusBadGateway, wantSends: 2},
	} {
		test.status, test.isStream, test.reason, test.mostRead = http.StatusOK, true, reasonTooLong, most
		testEndless(t, test)
	}
}

// Guards against a failure's body without end that is passed on until the deadline, and against reading one that is not passed on.
func TestFailureWithoutEndEndsTheAttempt(t *testing.T) {
	const refused, failed, notFound, found = http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusNotFound, http.StatusFound
	const most = maxBuffered + 1
	for _, test := range []endlessCase{
		{name: "500", path: "/once/x", status: failed, reason: reasonTooLong, mostRead: most, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "404", path: "/once/x", status: notFound, reason: reasonTooLong, mostRead: most, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "302 without a signature", path: "/once/x", status: found, isUnsigned: true, reason: reasonTooLong, mostRead: most, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "500 to a stream", path: "/stream-once/x", status: failed, reason: reasonTooLong, mostRead: most, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "503 that promises nothing", path: "/once/x", status: refused, reason: reasonRunnerFailed, mostRead: most, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "500, may be sent again", path: "/again/x", status: failed, isOnce: true, reason: reasonTooLong, mostRead: most, wantStatus: http.StatusOK, wantSends: 2},
		{name: "500 of a declared length", path: "/once/x", status: failed, length: maxBuffered + 1, reason: reasonTooLong, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "success without a signature", path: "/once/x", status: http.StatusOK, isUnsigned: true, reason: reasonNotSigned, wantStatus: http.StatusBadGateway, wantSends: 1},
	} {
		test.part = "failed "
		testEndless(t, test)
	}
}

// longEvents returns events with rising IDs of so many bytes at least.
func longEvents(bytes int) string {
	const perEvent = maxEventBytes / 2
	data := strings.Repeat("x", perEvent)
	var text strings.Builder
	for number := 0; text.Len() < bytes; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, data)
	}
	return text.String()
}

// Guards against a success without end that is passed on until the deadline, and one that is run again although part of it has been
// sent.
func TestSuccessWithoutEndEndsTheAttempt(t *testing.T) {
	const most, sent = maxAnswerBytes + streamBuffer, 2 * maxAnswerBytes
	for _, test := range []endlessCase{
		{name: "body", path: "/once/x", part: "text", mostRead: most, sent: sent, wantSends: 1},
		{name: "body, may be sent again", path: "/again/x", part: "text", mostRead: most, sent: sent, wantSends: 1},
		{name: "body of a declared length", path: "/once/x", part: "text", length: maxAnswerBytes + 1, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "declared length, may be sent again", path: "/again/x", part: "text", length: maxAnswerBytes + 1, isOnce: true, wantStatus: http.StatusOK, wantSends: 2},
		{name: "stream of a declared length", path: "/stream-once/x", part: "text", isStream: true, length: maxAnswerBytes + 1, wantStatus: http.StatusBadGateway, wantSends: 1},
		{name: "events", path: "/stream-once/x", begun: longEvents(sent), part: "x", isStream: true, mostRead: most, wantSends: 1},
		{name: "events without an ID", path: "/stream-once/x", part: "data: text\n\n", isStream: true, mostRead: maxEventBytes + streamBuffer, wantSends: 1},
		{name: "events without an ID, may be sent again", path: "/stream/x", part: "data: text\n\n", isStream: true, isOnce: true, mostRead: maxEventBytes + streamBuffer, wantSends: 1},
		{name: "events whose IDs do not rise", path: "/stream-once/x", part: "id: 0\n\n", isStream: true, mostRead: maxEventBytes + streamBuffer, wantSends: 1},
		{name: "comments", path: "/stream-once/x", part: ": comment\n\n", isStream: true, mostRead: maxEventBytes + streamBuffer, wantSends: 1},
		{name: "blank lines", path: "/stream-once/x", begun: events(1, 2), part: "\n", isStream: true, mostRead: maxEventBytes + 2*streamBuffer, wantSends: 1},
	} {
		test.status, test.reason = http.StatusOK, reasonTooLong
		testEndless(t, test)
	}
}

// An answer to HEAD declares the length of a body that does not come.
func TestAnswerToHeadMayDeclareAnyLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, err := newAnswer(http.StatusOK, "")
			answer.Length = 2 * maxAnswerBytes
			return answer, err
		})
		recorder := httptest.NewRecorder()
		router.Serve(recorder, &Request{
			HTTP: httptest.NewRequest(http.MethodHead, "http://h/again/x", nil), ID: "id", Arrived: time.Now(), Wait: time.Second, ResumeAfter: NoEvent,
		})
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	})
}

// Guards against a request that may be sent again but waits until its deadline for a runner that sends some bytes again and again,
// which complete no event. What may run only once waits, and so does what may be sent again while comments show that its runner is
// busy, for as long as a caller would.
func TestBytesWithoutEventsAreSilence(t *testing.T) {
	const interval, forever = 5 * time.Millisecond, 1 << 20
	busyFor := func(limit time.Duration) int { return int(limit / interval) }
	for name, test := range map[string]struct {
		path, part string
		times      int
		status     int
		sends      int
		// atLeast and atMost bound the time until the end of the answer.
		atLeast, atMost time.Duration
	}{
		"part of an event":                {"/stream/x", "x", forever, http.StatusOK, 2, 0, streamSilenceFloor + 100*time.Millisecond},
		"part of an event, runs once":     {"/stream-once/x", "x", forever, http.StatusGatewayTimeout, 1, 5 * time.Second, 5 * time.Second},
		"comments":                        {"/stream/x", ":\n\n", forever, http.StatusOK, 2, 0, 2 * time.Second},
		"comments, then events":           {"/stream/x", ":\n\n", busyFor(1500 * time.Millisecond), http.StatusOK, 1, 0, 1600 * time.Millisecond},
		"events that the caller has":      {"/stream/x", "id: 0\n\n", forever, http.StatusOK, 2, 0, 2 * time.Second},
		"events that the caller has, few": {"/stream/x", "id: 0\n\n", busyFor(1500 * time.Millisecond), http.StatusOK, 1, 0, 1600 * time.Millisecond},
		"comments, runs once":             {"/stream-once/x", ":\n\n", busyFor(4 * time.Second), http.StatusOK, 1, 4 * time.Second, 4100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sends := 0
				router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
					answer, err := stream(events(1, 4), io.EOF)
					if sends++; sends == 1 {
						answer.Body = &tricklingBody{ctx: ctx, part: test.part, pause: interval, times: test.times, rest: strings.NewReader(events(1, 4))}
					}
					return answer, err
				})
				began := time.Now()
				recorder, aborted := ask(router, t.Context(), test.path, "m")
				took := time.Since(began)
				c.Check(aborted, qt.IsFalse)
				c.Check(recorder.Code, qt.Equals, test.status)
				c.Check(backend.attempts, qt.HasLen, test.sends)
				c.Check(took >= test.atLeast && took <= test.atMost, qt.IsTrue, qt.Commentf("took %s", took))
				if test.status == http.StatusOK {
					c.Check(strings.HasSuffix(recorder.Body.String(), events(1, 4)), qt.IsTrue)
				}
			})
		})
	}
}

// divertedBackend has its runners go on with something else where their streams are cut.
type divertedBackend struct {
	Backend
	divert func(ctx context.Context) io.Reader
}

func (b *divertedBackend) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	answer, err := b.Backend.Send(ctx, attempt)
	if err == nil {
		answer.Body = &divertedBody{ReadCloser: answer.Body, next: b.divert(ctx)}
	}
	return answer, err
}

// divertedBody goes on with another text where it would fail with errReset.
type divertedBody struct {
	io.ReadCloser
	next       io.Reader
	isDiverted bool
}

func (b *divertedBody) Read(buffer []byte) (int, error) {
	if !b.isDiverted {
		count, err := b.ReadCloser.Read(buffer)
		if !errors.Is(err, errReset) {
			return count, err
		}
		b.isDiverted = true
	}
	return b.next.Read(buffer)
}

// Guards against a stream with a copy that is not continued from it when its runner sends an event without end, at once or slowly, and
// against a continuation that is read until the deadline.
func TestStreamWithoutEndIsContinuedFromItsCopy(t *testing.T) {
	for name, test := range map[string]struct {
		// bad is the number of runs that send an event without end, after three events each.
		bad int
		// isSlow is set if they send it byte by byte.
		isSlow bool
		// sends is the number of attempts, and isWhole set if the caller gets the whole stream.
		sends   int
		isWhole bool
	}{
		"run":                  {1, false, 2, true},
		"run that trickles":    {1, true, 2, true},
		"run and continuation": {2, false, 3, true},
		"both trickle":         {2, true, 3, true},
		"all":                  {3, false, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				var read atomic.Int64
				r.runners.cut = func(_ context.Context, number, event int) error {
					if number <= test.bad && event > 3*number {
						return errReset
					}
					return nil
				}
				r.options.Backend = &divertedBackend{Backend: r.runners, divert: func(ctx context.Context) io.Reader {
					if test.isSlow {
						return &tricklingBody{ctx: ctx, part: "x", pause: 5 * time.Millisecond, times: 1 << 20}
					}
					return &endlessBody{ctx: ctx, begun: strings.NewReader(""), part: "x", read: &read, left: endlessBytes}
				}}
				began := time.Now()
				recorder, aborted := r.ask(t.Context(), copiedPath)
				if test.isWhole {
					r.checkWhole(recorder, aborted, 1)
				}
				c.Check(aborted, qt.Equals, !test.isWhole)
				most := time.Duration(test.bad)*streamSilenceFloor + (copiedEvents+2)*copiedGap
				c.Check(time.Since(began) <= most, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
				c.Check(len(r.runners.attempts), qt.Equals, test.sends, qt.Commentf("%s", r.runners.describe()))
				mostRead := int64(test.bad) * (maxEventBytes + 2*streamBuffer)
				c.Check(read.Load() <= mostRead, qt.IsTrue, qt.Commentf("%d bytes were read", read.Load()))
			})
		})
	}
}
