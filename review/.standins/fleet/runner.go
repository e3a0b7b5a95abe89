package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a runner of a service without models. It runs at most slots requests at a time, queues a few more and
// rejects the rest with X-Not-Executed.
type runner struct {
	site     *site
	id       string
	service  string
	address  string
	zone     string
	slots    int
	queue    int
	work     time.Duration
	listener net.Listener
	ended    chan struct{}

	// loses decides after a run whether its answer is lost. Nil means never.
	loses func() bool
	// repeated is the share of the answers of which a second copy may be sent where the next answer on the connection is
	// due, while repeats is set. Of the answers, rejections are taken.
	repeated float64
	repeats  atomic.Bool
	// due is how many copies may still be sent.
	due float64

	// refuses decides whether a connection is cut off and reset. Nil means never.
	refuses atomic.Pointer[func(net.Conn) bool]
	// pause, if it is not 0, has answers come in two parts, that far apart, without a length: they end with their
	// connection.
	pause time.Duration

	mutex   sync.Mutex
	conns   map[net.Conn]bool
	taken   int
	working chan struct{}
	beats   int
}

func (s *site) startRunner(host int, service string, slots, queue int, work time.Duration) (*runner, error) {
	r := &runner{
		site: s, id: fmt.Sprintf("i-%08x", 0x5eed0000+host), service: service, address: s.address(host, portRunner), zone: zones[host%3],
		slots: slots, queue: queue, work: work, ended: make(chan struct{}), conns: make(map[net.Conn]bool), working: make(chan struct{}, slots),
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.address); err != nil {
		return nil, err
	}
	go r.accept()
	go r.beat()
	s.runners = append(s.runners, r)
	return r, nil
}

func (r *runner) close() {
	close(r.ended)
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// setRefuses cuts off those connections, open and new ones, for which refuses returns true.
func (r *runner) setRefuses(refuses func(net.Conn) bool) {
	r.refuses.Store(&refuses)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.conns {
		if refuses(conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// busiestPeer returns the machine that has the most open connections to the runner; nil if there is none.
func (r *runner) busiestPeer() (peer *machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	open := make(map[*machine]int)
	for conn := range r.conns {
		if from := r.site.ownerOf(conn); from != nil {
			open[from]++
			if open[from] > open[peer] {
				peer = from
			}
		}
	}
	return peer
}

// beat registers the runner about every heartbeat_ms.
func (r *runner) beat() {
	for {
		r.beats++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
			"cold_left_ms": 0, "sequence": r.beats,
		})
		pause := 300 * time.Millisecond
		for index := range r.site.controllers {
			m := r.site.controllers[(r.beats+index)%len(r.site.controllers)]
			status, _, err := r.site.call(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", m.ip, portControl, r.id), body)
			if err == nil && status/100 == 2 {
				pause = 1200 * time.Millisecond
				break
			}
		}
		select {
		case <-r.ended:
			return
		case <-time.After(pause):
		}
	}
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.admit(conn)
	}
}

// admit serves a connection, or resets it if it is cut off.
func (r *runner) admit(conn net.Conn) {
	if refuses := r.refuses.Load(); refuses != nil && (*refuses)(conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	r.mutex.Lock()
	r.conns[conn] = true
	r.mutex.Unlock()
	r.serve(conn)
}

// serve serves one request at a time on a connection.
func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	// rejection is the last answer on the connection, if it was a rejection.
	var rejection []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if rejection != nil && r.takesCopy() {
			r.site.record.write("runner %s sends its last answer once more, where the one to %s is due", r.id, request.Header.Get("X-Attempt-Id"))
			if _, err := conn.Write(rejection); err != nil {
				return
			}
		}
		answer, isLost := r.answer(request, body)
		if isLost {
			r.site.record.write("runner %s: the answer to %s is lost, the connection is reset", r.id, request.Header.Get("X-Attempt-Id"))
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if r.pause > 0 && bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) && request.Header.Get("X-Attempt-Id") != "" {
			r.writeUnframed(conn, request, answer)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		rejection = nil
		if bytes.HasPrefix(answer, []byte("HTTP/1.1 503")) {
			rejection = answer
		}
	}
}

// writeUnframed writes an answer without a length in two parts, and ends it with the connection.
func (r *runner) writeUnframed(conn net.Conn, request *http.Request, answer []byte) {
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	head = head[:bytes.LastIndex(head, []byte("Content-Length"))]
	attempt := request.Header.Get("X-Attempt-Id")
	half := len(body) / 2
	first := append(append(head, "Connection: close\r\n\r\n"...), body[:half]...)
	if _, err := conn.Write(first); err != nil {
		return
	}
	time.Sleep(r.pause)
	if _, err := conn.Write(body[half:]); err != nil {
		r.site.record.write("runner %s cannot write the rest of its answer to %s: %v", r.id, attempt, err)
		return
	}
	r.site.record.write("runner %s has written its whole answer to %s", r.id, attempt)
}

// takesCopy reports whether a second copy of the last answer is sent before the next request is taken.
func (r *runner) takesCopy() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.repeats.Load() || r.due < 1 || r.taken >= r.slots+r.queue {
		return false
	}
	r.due--
	return true
}

// answer handles a request and returns the whole answer.
func (r *runner) answer(request *http.Request, _ []byte) (answer []byte, isLost bool) {
	attempt := request.Header.Get("X-Attempt-Id")
	switch request.URL.Path {
	case "/healthz":
		return respond(200, "", "X-Instance-Id: "+r.id+"\r\n", ""), false
	case "/report":
		return respond(200, "", "Content-Type: application/json\r\n", `{"models":[],"busy":false,"sequence":0,"queued":0,"active":0}`), false
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		return respond(421, attempt, "X-Not-Executed: 1\r\n", ""), false
	}
	r.mutex.Lock()
	if r.repeats.Load() {
		r.due += r.repeated
	}
	isFull := r.taken >= r.slots+r.queue
	if !isFull {
		r.taken++
	}
	r.mutex.Unlock()
	if isFull {
		r.site.record.write("runner %s rejects %s: it is full", r.id, attempt)
		return respond(503, attempt, "X-Not-Executed: 1\r\n", ""), false
	}
	r.working <- struct{}{}
	r.site.record.ran(attempt, r.id, request.Method+" "+request.RequestURI)
	time.Sleep(r.work)
	<-r.working
	r.mutex.Lock()
	r.taken--
	r.mutex.Unlock()
	if r.loses != nil && r.loses() {
		return nil, true
	}
	body := r.body(attempt)
	if request.Method == http.MethodHead {
		body = ""
	}
	return respond(200, attempt, "X-Server-Seal: seal."+r.id+"."+attempt+"\r\n", body), false
}

// body returns the body of the answer to an attempt.
func (r *runner) body(attempt string) string { return "answer of " + r.id + " to " + attempt + "\n" }

func respond(status int, attempt, more, body string) []byte {
	if attempt != "" {
		more = "X-Attempt-Id: " + attempt + "\r\n" + more
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), more, len(body), body)
}
