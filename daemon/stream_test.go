package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// shortLimit is a timeout that tests wait for; it is long enough to send a request on a
// busy machine.
const shortLimit = 2 * time.Second

func TestStreamMayLastLongerThanTheReadingOfItsRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1, limits: func(limits *httpLimits) { limits.body = shortLimit }})
		s.applyRows(1)
		request := streamRequest("long", "r0", longAnswer)
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
	})
}

const postHead = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"

func TestConnectionsThatSendNothingMoreAreClosed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1, limits: func(limits *httpLimits) {
			limits.header, limits.body, limits.idle = shortLimit, shortLimit, shortLimit
		}})
		var asking sync.WaitGroup
		for _, test := range []struct{ about, sent, answer string }{
			{"nothing", "", ""},
			{"half a header", postHead, ""},
			{"half a body", postHead + "Content-Length: 100\r\n\r\n{\"model\":", "HTTP/1.1 400 "},
			{"a request and then nothing", "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 "},
			{"an endless header", postHead + "X-Long: " + strings.Repeat("x", 2*maxHeaderBytes), "HTTP/1.1 431 "},
		} {
			asking.Go(func() {
				conn, err := s.network.DialContext(s.ctx, "tcp", s.settings[0].Listen.Callers)
				if !s.Check(err, qt.IsNil) {
					return
				}
				defer conn.Close()
				_, err = conn.Write([]byte(test.sent))
				s.Check(err, qt.IsNil)
				// The read returns only when the daemon closes the connection.
				answer, _ := io.ReadAll(conn)
				s.Check(strings.HasPrefix(string(answer), test.answer), qt.IsTrue, qt.Commentf("%s: %s", test.about, answer))
			})
		}
		asking.Wait()
		s.Assert(s.daemons[0].router.openCalls(), qt.Equals, 0)
	})
}

func TestLimitListenerBoundsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		inner, err := memory.Listen(t.Context(), "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listener := newLimitListener(inner, 1)
		var dialled []net.Conn
		for range 2 {
			conn, err := memory.DialContext(t.Context(), "tcp", inner.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			dialled = append(dialled, conn)
		}
		first, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(listener.slots, qt.HasLen, 1)
		accepted := make(chan net.Conn, 1)
		go func() {
			second, _ := listener.Accept()
			accepted <- second
		}()
		first.Close()
		second := <-accepted
		c.Assert(second.RemoteAddr().String(), qt.Equals, dialled[1].LocalAddr().String())
		second.Close()
		listener.Close()
		_, err = listener.Accept()
		c.Assert(err, qt.ErrorIs, net.ErrClosed)
	})
}

// largeToken and largeTokens are the text and number of tokens that fill all buffers:
// more than the sockets hold, but less than the maximum answer of the router.
var largeToken = strings.Repeat("x", 32<<10)

const largeTokens = 220

// writeTokens writes tokens until next returns false.
func writeTokens(w http.ResponseWriter, next func(index int) (structs.Token, bool)) {
	w.Header().Set("Content-Type", engineapi.ContentTypeEvents)
	for index := 0; ; index++ {
		token, more := next(index)
		if !more {
			return
		}
		event, _ := engineapi.AppendToken(nil, token)
		if _, err := w.Write(event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func generateRequest(r *http.Request) structs.GenerateRequest {
	var request structs.GenerateRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	return request
}

func TestCallerThatDoesNotReadIsCutAndItsEngineFreed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request := generateRequest(r)
			writeTokens(w, func(index int) (structs.Token, bool) {
				return structs.Token{ID: request.ID, Index: index, Text: largeToken}, index < largeTokens
			})
			<-r.Context().Done()
			close(cancelled)
		})
		s := newStreamSite(t, streamSiteOptions{zones: 1, engine: engine, limits: func(limits *httpLimits) { limits.write = shortLimit }})
		s.applyRows(1)
		conn, err := s.network.DialContext(s.ctx, "tcp", s.settings[0].Listen.Callers)
		s.Assert(err, qt.IsNil)
		defer conn.Close()
		body := `{"model":"r0","prompt":"p","stream":true,"max_tokens":8000}`
		_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", postHead, len(body), body)
		s.Assert(err, qt.IsNil)
		select {
		case <-cancelled:
		case <-s.ctx.Done():
			s.TB.Fatal("the engine still runs the request of a caller that does not read")
		}
		s.await("the end of the request", &s.daemons[0].router.workDone, func() bool { return s.daemons[0].router.openCalls() == 0 })
	})
}

func TestWrongAnswersOfEnginesNeverReachCallersAsSuccess(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		about string
		// token returns a token of the answer to a request for 3 tokens; false ends the
		// answer.
		token func(id structs.RequestID, index int) (structs.Token, bool)
		// want is the execution state reported to the caller. If no token arrived, the
		// engine was asked and does not know the request.
		want structs.Execution
	}{
		{"truncated", func(id structs.RequestID, index int) (structs.Token, bool) {
			return structs.Token{ID: id, Index: index, Text: "a"}, index < 2
		}, structs.ExecutionUnknown},
		{"crossed", func(id structs.RequestID, index int) (structs.Token, bool) {
			if index == 1 {
				id = "another." + id
			}
			return lastAt(structs.Token{ID: id, Index: index, Text: "a"}, 2), index < 3
		}, structs.ExecutionUnknown},
		{"lost token", func(id structs.RequestID, index int) (structs.Token, bool) {
			return lastAt(structs.Token{ID: id, Index: index * 2, Text: "a"}, 2), index < 2
		}, structs.ExecutionUnknown},
		{"token sent again later", func(id structs.RequestID, index int) (structs.Token, bool) {
			return lastAt(structs.Token{ID: id, Index: []int{0, 1, 0, 2}[min(index, 3)], Text: "a"}, 2), index < 4
		}, structs.ExecutionUnknown},
		{"longer than asked for", func(id structs.RequestID, index int) (structs.Token, bool) {
			return lastAt(structs.Token{ID: id, Index: index, Text: "a"}, 5), index < 6
		}, structs.ExecutionUnknown},
		{"oversized token", func(id structs.RequestID, index int) (structs.Token, bool) {
			return lastAt(structs.Token{ID: id, Index: index, Text: strings.Repeat("a", engineapi.DefaultMaxLine)}, 2), index < 3
		}, structs.ExecutionNotRun},
		{"unknown finish", func(id structs.RequestID, index int) (structs.Token, bool) {
			return structs.Token{ID: id, Index: index, Text: "a", Finish: "done"}, index < 1
		}, structs.ExecutionNotRun},
	} {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				calls := make(chan structs.RequestID, 64)
				s := newStreamSite(t, streamSiteOptions{zones: 1, engine: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					request := generateRequest(r)
					calls <- request.ID
					writeTokens(w, func(index int) (structs.Token, bool) { return test.token(request.ID, index) })
				})})
				s.applyRows(1)
				request := streamRequest("wrong", "r0", 3)
				request.IdempotencyKey = "key"
				_, err := s.ask(0, request)
				s.Assert(refusalOf(s.C, err).Execution, qt.Equals, test.want)
				s.Assert(len(calls) == 1 || test.want == structs.ExecutionNotRun, qt.IsTrue)
			})
		})
	}
}

// lastAt sets the finish reason of the token with the last index.
func lastAt(token structs.Token, last int) structs.Token {
	if token.Index == last {
		token.Finish = structs.FinishLength
	}
	return token
}

func TestAnswersOfADisturbedEngineAreWholeOrRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(2)
		s.engines[0].SetFaults(emulator.EngineFaults{
			LateRate: 0.01, LateBy: 20 * time.Millisecond, RepeatRate: 0.05, LossRate: 0.01, CrossRate: 0.01, ResetRate: 0.01,
		})
		const requests = 32
		type result struct {
			request structs.Request
			text    string
			err     error
		}
		results := make(chan result, requests)
		for i := range requests {
			request := streamRequest(fmt.Sprint("q", i), fmt.Sprint("r", i%2), 40)
			go func() {
				text, err := s.ask(0, request)
				results <- result{request, text, err}
			}()
		}
		answered := 0
		for range requests {
			got := <-results
			if got.err != nil {
				s.Check(refusalOf(s.C, got.err).Execution, qt.Not(qt.Equals), structs.ExecutionUnknown)
				continue
			}
			answered++
			s.Check(got.text, qt.Equals, wholeAnswer(got.request))
		}
		s.Assert(answered > 0, qt.IsTrue)
	})
}
