package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	peerAddress   = "10.1.0.2:7015"
	runnerAddress = "10.2.0.1:8080"
)

var (
	routerIP = netip.MustParseAddr("10.1.0.1")
	peerIP   = netip.MustParseAddr("10.1.0.2")
	runnerIP = netip.MustParseAddr("10.2.0.1")
)

// bench is a router, a peer and a runner on machines of their own.
type bench struct {
	c      *qt.C
	memory *networktest.Memory
	router network.Network
	server *Server
	// accepted receives the connections at the runner.
	accepted chan net.Conn

	mutex  sync.Mutex
	status Status
	// isUnwilling is set while the runner wants no requests of the peer; told are the notices that the peer got.
	isUnwilling bool
	told        []Notice
	outcomes    map[string]int
}

func inBench(t *testing.T, test func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		b := &bench{c: c, memory: memory, router: memory.From(routerIP), accepted: make(chan net.Conn, 16), outcomes: make(map[string]int)}
		peer := memory.From(peerIP)
		b.server = NewServer(Options{
			Logger: log.NewNopLogger(), IsRunner: func(address string) bool { return address == runnerAddress },
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				return peer.DialContext(ctx, "tcp", address)
			},
			Status:      b.currentStatus,
			Observe:     b.observe,
			IsUnwilling: func(string) bool { return b.isUnwilling },
			TakeNotice:  func(told Notice) { b.told = append(b.told, told) },
		})
		listener, err := peer.Listen(t.Context(), peerAddress)
		c.Assert(err, qt.IsNil)
		runner, err := memory.Listen(t.Context(), runnerAddress)
		c.Assert(err, qt.IsNil)
		var running sync.WaitGroup
		running.Go(func() { b.server.Serve(listener) })
		running.Go(func() {
			for {
				conn, err := runner.Accept()
				if err != nil {
					return
				}
				b.accepted <- conn
			}
		})
		test(b)
		b.server.Close()
		_ = runner.Close()
		running.Wait()
	})
}

func (b *bench) currentStatus() Status {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.status
}

func (b *bench) setStatus(status Status) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.status = status
}

func (b *bench) observe(outcome string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outcomes[outcome]++
}

// open opens a tunnel and returns both of its ends.
func (b *bench) open() (router, runner net.Conn) {
	b.c.Helper()
	router, err := Dial(b.c.Context(), b.router, peerAddress, runnerAddress)
	b.c.Assert(err, qt.IsNil)
	return router, <-b.accepted
}

func (b *bench) cause(err error) Cause {
	b.c.Helper()
	var failed *Error
	b.c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	return failed.Cause
}

// What one end sends arrives at the other at once, both ways, and an end in good order is one.
func TestTunnelCarriesBothWays(t *testing.T) {
	inBench(t, func(b *bench) {
		router, runner := b.open()
		began := time.Now()
		_, err := router.Write([]byte("question\n"))
		b.c.Assert(err, qt.IsNil)
		line, err := bufio.NewReader(runner).ReadString('\n')
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(line, qt.Equals, "question\n")
		_, err = runner.Write([]byte("answer"))
		b.c.Assert(err, qt.IsNil)
		buffer := make([]byte, 16)
		count, err := router.Read(buffer)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(string(buffer[:count]), qt.Equals, "answer")
		b.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		b.c.Assert(runner.Close(), qt.IsNil)
		rest, err := io.ReadAll(router)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(rest, qt.HasLen, 0)
		_ = router.Close()
		synctest.Wait()
		b.c.Assert(b.server.Open(), qt.Equals, 0)
	})
}

// Guards against an answer without a length that looks complete although the runner broke it off.
func TestResetOfRunnerReachesRouterAsReset(t *testing.T) {
	inBench(t, func(b *bench) {
		router, runner := b.open()
		_, err := runner.Write([]byte("half"))
		b.c.Assert(err, qt.IsNil)
		synctest.Wait()
		reset(runner)
		_, err = io.ReadAll(router)
		b.c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		_ = router.Close()
	})
}

// A caller's leaving must reach the runner at once.
func TestEndOfRouterReachesRunner(t *testing.T) {
	inBench(t, func(b *bench) {
		router, runner := b.open()
		b.c.Assert(router.Close(), qt.IsNil)
		began := time.Now()
		_, err := runner.Read(make([]byte, 1))
		b.c.Assert(err, qt.IsNotNil)
		b.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		_ = runner.Close()
	})
}

// Each reason why there is no tunnel is told apart, as it decides whether the peer or the runner is avoided.
func TestReasonsWithoutTunnel(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(b *bench)
		runner  string
		cause   Cause
		outcome string
		within  time.Duration
	}{
		{"runner unknown to the peer", func(*bench) {}, "10.2.0.9:8080", CauseRunner, outcomeUnknown, 0},
		{"runner wants nothing of the peer", func(b *bench) { b.isUnwilling = true }, runnerAddress, CauseRunner, outcomeUnwilling, 0},
		{"runner not reached by the peer", func(b *bench) { b.memory.Cut(runnerIP) }, runnerAddress, CauseRunner, CauseRunner.String(), 100 * time.Millisecond},
		{"peer has no room", func(b *bench) { b.setStatus(Status{IsBusy: true}) }, runnerAddress, CauseRejected, outcomeBusy, 0},
		{"peer stops", func(b *bench) { b.server.StopAccepting() }, runnerAddress, CauseRejected, outcomeStopping, 0},
		{"peer not reached", func(b *bench) { b.memory.Cut(peerIP) }, runnerAddress, CausePeer, "", peerTimeout},
		{"peer ended", func(b *bench) { b.server.Close() }, runnerAddress, CausePeer, "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				test.prepare(b)
				began := time.Now()
				_, err := Dial(b.c.Context(), b.router, peerAddress, test.runner)
				b.c.Assert(b.cause(err), qt.Equals, test.cause)
				b.c.Assert(time.Since(began), qt.Equals, test.within)
				b.c.Assert(b.outcomes[test.outcome], qt.Equals, min(1, len(test.outcome)))
				b.memory.Restore(peerIP)
				b.memory.Restore(runnerIP)
			})
		})
	}
}

// A peer that accepts connections and says nothing does not hold requests for long, and a caller that leaves is not
// waited for.
func TestSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		listener, err := memory.Listen(t.Context(), peerAddress)
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		began := time.Now()
		_, err = Dial(t.Context(), memory, peerAddress, runnerAddress)
		c.Assert(err, qt.ErrorMatches, ".*peer_unreachable.*")
		c.Assert(time.Since(began), qt.Equals, targetTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began = time.Now()
		_, err = Dial(ctx, memory, peerAddress, runnerAddress)
		c.Assert(err, qt.IsNotNil)
		c.Assert(time.Since(began), qt.Equals, 50*time.Millisecond)
	})
}

// No more tunnels than the bound are open; a router that asks for more is told so at once.
func TestTunnelsAreBounded(t *testing.T) {
	inBench(t, func(b *bench) {
		var open []net.Conn
		for range maxTunnels {
			router, runner := b.open()
			open = append(open, router, runner)
		}
		_, err := Dial(b.c.Context(), b.router, peerAddress, runnerAddress)
		b.c.Assert(b.cause(err), qt.Equals, CauseRejected)
		for _, each := range open {
			_ = each.Close()
		}
		synctest.Wait()
		router, runner := b.open()
		_, _ = router.Close(), runner.Close()
	})
}

// A router that watches a peer learns at once that it stops or has lost a zone, and soon that it is lost.
func TestWatch(t *testing.T) {
	inBench(t, func(b *bench) {
		seen := make(chan Status, 100)
		ended := make(chan error, 1)
		go func() {
			ended <- Watch(b.c.Context(), b.router, peerAddress, func(status Status) { seen <- status })
		}()
		b.c.Assert(<-seen, qt.DeepEquals, Status{})
		b.setStatus(Status{Lost: []structs.ZoneID{"a"}})
		began := time.Now()
		b.server.Announce()
		b.c.Assert((<-seen).Lost, qt.DeepEquals, []structs.ZoneID{"a"})
		b.server.StopAccepting()
		b.c.Assert((<-seen).IsStopping, qt.IsTrue)
		b.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		<-seen
		b.c.Assert(time.Since(began), qt.Equals, statusInterval)
		b.memory.Cut(peerIP)
		b.c.Assert(b.cause(<-ended), qt.Equals, CausePeer)
		b.c.Assert(time.Since(began), qt.Equals, statusInterval+statusTimeout)
		b.memory.Restore(peerIP)
	})
}

// BenchmarkTunnel compares a request over a kept connection through a peer on loopback with a direct one.
func BenchmarkTunnel(b *testing.B) {
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	target := runner.Addr().String()
	handler := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, "fine") })}
	go func() { _ = handler.Serve(runner) }()
	defer handler.Close()
	_, peer := serveOnLoopback(b)
	ways := map[string]func(ctx context.Context, protocol, address string) (net.Conn, error){
		"direct": network.TCP{}.DialContext,
		"peer": func(ctx context.Context, _, address string) (net.Conn, error) {
			return Dial(ctx, network.TCP{}, peer, address)
		},
	}
	for _, isKept := range []bool{true, false} {
		for _, way := range []string{"direct", "peer"} {
			b.Run(fmt.Sprintf("%s/kept=%v", way, isKept), func(b *testing.B) {
				transport := &http.Transport{DialContext: ways[way], DisableKeepAlives: !isKept}
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport}
				b.ReportAllocs()
				for b.Loop() {
					answer, err := client.Get("http://" + target)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			})
		}
	}
}

// What a runner says in an answer that goes through a tunnel must reach the peer, whose machine the runner means.
func TestNoticeReachesPeer(t *testing.T) {
	inBench(t, func(b *bench) {
		told := Notice{Runner: runnerAddress, Instance: "i-1", Cooldown: 3 * time.Second, IsLeaving: true}
		b.c.Assert(Tell(b.c.Context(), b.router, peerAddress, told), qt.IsNil)
		b.c.Assert(b.told, qt.DeepEquals, []Notice{told})
		b.memory.Cut(peerIP)
		b.c.Assert(Tell(b.c.Context(), b.router, peerAddress, told), qt.IsNotNil)
		b.memory.Restore(peerIP)
	})
}
