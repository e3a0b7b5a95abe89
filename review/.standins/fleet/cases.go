package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

var cases = map[string]func(*site, bool) (broken int, err error){
	"replay": replay,
	"extra":  extra,
	"tunnel": cutTunnel,
}

const (
	host     = "ficu95.example"
	plain    = "xano55b"
	other    = "dele69a"
	oncePath = "/lohu930/"
)

// configuration has one route that is not idempotent, as the site's audio-fetch.
func configuration(timeout time.Duration) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2b9wu3f", "host": host, "path_prefix": oncePath, "route_kind": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 2, "service": plain, "max_attempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": plain, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// begin starts the deployment and waits until it serves.
func begin(s *site, routers, runners, slots, queue int, work, timeout time.Duration) error {
	if err := s.start(3, routers); err != nil {
		return err
	}
	for index := range runners {
		if _, err := s.startRunner(21+index, plain, slots, queue, work); err != nil {
			return err
		}
	}
	if err := s.configure(configuration(timeout), 20*time.Second); err != nil {
		return err
	}
	return s.awaitServing()
}

// awaitServing waits until each router serves.
func (s *site) awaitServing() error {
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	// Requests are served once the routers know the runners.
	until := time.Now().Add(20 * time.Second)
	for _, m := range s.routers {
		c := &client{site: s, router: m}
		for c.send("POST", host, oncePath+"warm", "", "warm", time.Second).status != 200 {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
		c.close()
	}
	return nil
}

// every returns a function that is true each n-th time while isOn is set.
func every(n int64, isOn *atomic.Bool) func() bool {
	var count atomic.Int64
	return func() bool { return isOn.Load() && count.Add(1)%n == 0 }
}

// judgeOnce counts the attempts that ran more than once (TWICE), and those that were refused with a promise and ran
// (REFUSED).
func judgeOnce(s *site, all []answered) (twice, refused int, err error) {
	served, lost, byMethod := 0, 0, make(map[string]int)
	for _, each := range all {
		runs := s.record.runsOf(each.attempt)
		switch {
		case each.status == 200:
			served++
		case each.status != 503:
			lost++
		}
		if len(runs) > 1 {
			twice++
			byMethod[each.method]++
			s.record.write("TWICE: %s (%s) ran at %v; the client got %d", each.attempt, each.method, runs, each.status)
		}
		switch each.status {
		case 429, 503, 408, 421:
			if len(runs) > 0 {
				refused++
				s.record.write("REFUSED: %s ran at %v; the client got %d", each.attempt, runs, each.status)
			}
		}
	}
	s.record.write("%d requests: %d served, %d without an answer or with another failure, %d run more than once %v, %d refused though run",
		len(all), served, lost, twice, byMethod, refused)
	fmt.Printf("%d requests: %d served, %d without an answer or with another failure, %d run more than once %v, %d refused though run\n",
		len(all), served, lost, twice, byMethod, refused)
	return twice, refused, checkServed(served)
}

// errNotServed means that nothing can be told, as no request was served.
var errNotServed = errors.New("no request was served")

func checkServed(served int) error {
	if served == 0 {
		return errNotServed
	}
	return nil
}

// load has clients at each router send requests one after the other for a time. The requests of all clients begin at the
// same moments, a beat apart.
func load(s *site, perRouter int, length, beat, wait time.Duration, next func(client int) (method, headers, body string)) []answered {
	var mutex sync.Mutex
	var all []answered
	var sending sync.WaitGroup
	until := time.Now().Add(length)
	for _, m := range s.routers {
		for number := range perRouter {
			sending.Go(func() {
				c := &client{site: s, router: m}
				defer c.close()
				for time.Now().Before(until) {
					method, headers, body := next(number)
					got := c.send(method, host, oncePath+"2f", headers, body, wait)
					mutex.Lock()
					all = append(all, got)
					mutex.Unlock()
					time.Sleep(time.Until(time.Now().Truncate(beat).Add(beat)))
				}
			})
		}
	}
	sending.Wait()
	time.Sleep(2 * time.Second)
	return all
}

// bodiless returns what a client sends next: the first at each router POST with an Idempotency-Key of its own, the second
// HEAD without that header, both without a body.
func bodiless(client int) (method, headers, body string) {
	if client == 0 {
		return "POST", "Idempotency-Key: " + newAttempt() + "\r\n", ""
	}
	return "HEAD", "", ""
}

// replay: requests without a body on a route that is not idempotent. For 4 s one of two runners loses 1 in 20 of the
// answers to what it ran, and resets the connection.
func replay(s *site, hasTrouble bool) (int, error) {
	if err := begin(s, 3, 2, 6, 24, 20*time.Millisecond, 800*time.Millisecond); err != nil {
		return 0, err
	}
	var isOn atomic.Bool
	s.runners[0].loses = every(20, &isOn)
	if hasTrouble {
		time.AfterFunc(2*time.Second, func() { isOn.Store(true) })
		time.AfterFunc(6*time.Second, func() { isOn.Store(false) })
	}
	all := load(s, 2, 9*time.Second, 80*time.Millisecond, 1500*time.Millisecond, bodiless)
	twice, _, err := judgeOnce(s, all)
	return twice, err
}

// extra: for 5 s runners send 3 in 100 of their answers a second time, where the next answer is due.
func extra(s *site, hasTrouble bool) (int, error) {
	if err := begin(s, 3, 2, 3, 2, 25*time.Millisecond, 800*time.Millisecond); err != nil {
		return 0, err
	}
	r := s.runners[0]
	r.repeated = 0.03
	if hasTrouble {
		time.AfterFunc(2*time.Second, func() { r.repeats.Store(true) })
		time.AfterFunc(7*time.Second, func() { r.repeats.Store(false) })
	}
	all := load(s, 8, 9*time.Second, 120*time.Millisecond, 1500*time.Millisecond, func(int) (method, headers, body string) { return "POST", "", "body" })
	_, refused, err := judgeOnce(s, all)
	return refused, err
}

// cutTunnel: one of five runners, the only one of its service, loses the path to one of six routers, which reaches it
// through the others. One of those is killed while answers without a length pass through it, unless TROUBLE=cut. The
// path is back after 5 s.
func cutTunnel(s *site, hasTrouble bool) (int, error) {
	if err := s.start(3, 6); err != nil {
		return 0, err
	}
	for index := range 5 {
		service := plain
		if index > 0 {
			service = other
		}
		if _, err := s.startRunner(21+index, service, 12, 24, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	made := configuration(3 * time.Second)
	made["services"] = append(made["services"].([]any), map[string]any{"name": other, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false})
	if err := s.configure(made, 20*time.Second); err != nil {
		return 0, err
	}
	if err := s.awaitServing(); err != nil {
		return 0, err
	}
	r, behind := s.runners[0], s.routers[0]
	r.pause = 300 * time.Millisecond
	cut := func(conn net.Conn) bool { return s.ownerOf(conn) == behind }
	if hasTrouble {
		r.setRefuses(cut)
		s.record.write("the path between %s and %s is cut", behind.name, r.id)
		time.AfterFunc(5*time.Second, func() {
			r.refuses.Store(nil)
			s.record.write("the path between %s and %s is back", behind.name, r.id)
		})
	}
	kill := func() {
		peer := r.busiestPeer()
		if peer == nil {
			s.record.write("no router passes requests on")
			return
		}
		s.record.write("%s is killed", peer.name)
		peer.end()
		time.Sleep(500 * time.Millisecond)
		_ = s.startMachine(peer)
	}
	if hasTrouble && os.Getenv("TROUBLE") != "cut" {
		time.AfterFunc(4*time.Second, kill)
	}
	var mutex sync.Mutex
	var all []answered
	var sending sync.WaitGroup
	until := time.Now().Add(9 * time.Second)
	for range 8 {
		sending.Go(func() {
			c := &client{site: s, router: behind}
			defer c.close()
			for time.Now().Before(until) {
				got := c.send("POST", host, oncePath+"2f", "", "body", 3*time.Second)
				mutex.Lock()
				all = append(all, got)
				mutex.Unlock()
				time.Sleep(rand.N(200 * time.Millisecond))
			}
		})
	}
	sending.Wait()
	return judgeWhole(s, all)
}

// judgeWhole counts the successes whose body is not the runner's whole body.
func judgeWhole(s *site, all []answered) (broken int, err error) {
	served := 0
	for _, each := range all {
		if each.status/100 != 2 {
			continue
		}
		served++
		if whole := s.runners[0].body(each.attempt); each.body != whole {
			broken++
			s.record.write("MIXED: %s got %d with the signature %q and %d of the %d bytes of the body", each.attempt, each.status,
				each.header.Get("X-Server-Seal"), len(each.body), len(whole))
		}
	}
	s.record.write("%d requests: %d served, %d of them with a part of the body", len(all), served, broken)
	fmt.Printf("%d requests: %d served, %d of them with a part of the body\n", len(all), served, broken)
	return broken, checkServed(served)
}
