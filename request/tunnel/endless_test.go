package tunnel

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// endlessBytes is how much a test sends in place of bytes without end.
const endlessBytes = 32 << 20

// Guards against a peer's answers without end that a router reads into its memory until a deadline.
func TestEndlessAnswersOfPeerEndAtOnce(t *testing.T) {
	ask := func(ctx context.Context, over network.Network) error {
		conn, err := Dial(ctx, over, peerAddress, runnerAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	tell := func(ctx context.Context, over network.Network) error {
		return Tell(ctx, over, peerAddress, Notice{Runner: runnerAddress})
	}
	watch := func(ctx context.Context, over network.Network) error {
		return Watch(ctx, over, peerAddress, func(Status) {})
	}
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		call         func(ctx context.Context, over network.Network) error
		start, piece string
		limit        int
	}{
		"a line, asked for a tunnel":       {ask, "HTTP/1.1 200 ", "x", maxHeadBytes},
		"a header, asked for a tunnel":     {ask, head + "A: ", "x", maxHeadBytes},
		"headers, asked for a tunnel":      {ask, head, "A: b\r\n", maxHeadBytes},
		"headers, told a notice":           {tell, head, "A: b\r\n", maxHeadBytes},
		"headers, asked for its status":    {watch, head, "A: b\r\n", maxHeadBytes},
		"a status, asked for its status":   {watch, head + "\r\n{\"IsBusy\":\"", "x", maxHeadBytes + maxStatusBytes},
		"blanks, asked for its status":     {watch, head + "\r\n", " ", maxHeadBytes + maxStatusBytes},
		"statuses, asked for its status":   {watch, head + "\r\n", "{}\n", maxHeadBytes + maxStatusBytes},
		"a list, asked for its status":     {watch, head + "\r\n{\"Notices\":[{}", ",{}", maxHeadBytes + maxStatusBytes},
		"nested data, asked for its state": {watch, head + "\r\n", "[", maxHeadBytes + maxStatusBytes},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				listener, err := memory.Listen(t.Context(), peerAddress)
				c.Assert(err, qt.IsNil)
				sent := make(chan int, 1)
				go func() {
					conn, err := listener.Accept()
					c.Check(err, qt.IsNil)
					_, _ = conn.Read(make([]byte, 4096))
					sent <- networktest.SendWithoutEnd(conn, test.start, test.piece, endlessBytes)
					_ = conn.Close()
				}()
				began := time.Now()
				err = test.call(t.Context(), memory)
				var failed *Error
				c.Assert(err, qt.ErrorAs, &failed)
				c.Assert(failed.Cause, qt.Equals, CausePeer)
				c.Assert(time.Since(began), qt.Equals, time.Duration(0))
				c.Assert(<-sent <= test.limit+2*networktest.DefaultBufferBytes, qt.IsTrue)
				_ = listener.Close()
			})
		})
	}
}

// A peer's long statuses, one after the other, must not end the watch of it.
func TestLongStatusesAreRead(t *testing.T) {
	inBench(t, func(b *bench) {
		notices := make([]Notice, 10_000)
		for i := range notices {
			notices[i] = Notice{Runner: runnerAddress, Instance: strings.Repeat("i", 40), Cooldown: time.Minute}
		}
		b.setStatus(Status{Notices: notices})
		ctx, cancel := context.WithTimeout(b.c.Context(), 10*statusInterval+statusInterval/2)
		defer cancel()
		seen := 0
		_ = Watch(ctx, b.router, peerAddress, func(status Status) {
			b.c.Check(status.Notices, qt.HasLen, len(notices))
			seen++
		})
		b.c.Assert(seen, qt.Equals, 11)
	})
}

// Guards against a peer whose tunnel to a runner that sends without end takes memory or outlives the router's end of it.
func TestTunnelOfEndlessRunnerEndsWithRouter(t *testing.T) {
	inBench(t, func(b *bench) {
		router, runner := b.open()
		sent := make(chan int, 1)
		go func() { sent <- networktest.SendWithoutEnd(runner, "", "x", endlessBytes) }()
		_, err := io.CopyN(io.Discard, router, 1<<20)
		b.c.Assert(err, qt.IsNil)
		synctest.Wait()
		_ = router.Close()
		// What the router has not read is held by the connections and by one buffer.
		const held = 4*networktest.DefaultBufferBytes + 2*copyBytes
		b.c.Assert(<-sent <= 1<<20+held, qt.IsTrue)
		synctest.Wait()
		b.c.Assert(b.server.Open(), qt.Equals, 0)
		_ = runner.Close()
	})
}

// Guards against questions of routers that take a peer's memory or keep a connection without end.
func TestEndlessQuestionsEnd(t *testing.T) {
	const (
		connect = "CONNECT " + runnerAddress + " HTTP/1.1\r\n"
		notice  = "POST " + noticePath + " HTTP/1.1\r\nHost: peer\r\n"
		// passedOver is what the connection holds and what net/http reads and discards of a body after its answer.
		passedOver = 2*networktest.DefaultBufferBytes + 256<<10 + 16<<10
	)
	for name, test := range map[string]struct {
		start, piece string
		// interval is the time between two pieces; 0 sends them at once.
		interval, within time.Duration
	}{
		"headers":                {connect, "A: b\r\n", 0, time.Second},
		"a notice":               {notice + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n", 0, time.Second},
		"headers, slowly":        {connect, "A: b\r\n", 100 * time.Millisecond, readHeaderTimeout + time.Second},
		"a notice, slowly":       {notice + "Content-Length: 1000\r\n\r\n", " ", 100 * time.Millisecond, noticeTimeout + time.Second},
		"nothing after a notice": {notice + "Content-Length: 2\r\n\r\n{}", "", 100 * time.Millisecond, readHeaderTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				conn, err := b.router.DialContext(b.c.Context(), "tcp", peerAddress)
				b.c.Assert(err, qt.IsNil)
				var sending sync.WaitGroup
				sent := 0
				sending.Go(func() {
					if test.interval == 0 {
						sent = networktest.SendWithoutEnd(conn, test.start, test.piece, endlessBytes)
						return
					}
					_, err := io.WriteString(conn, test.start)
					for began := time.Now(); err == nil && time.Since(began) < time.Minute; {
						time.Sleep(test.interval)
						_, err = io.WriteString(conn, test.piece)
					}
				})
				began := time.Now()
				_ = conn.SetReadDeadline(began.Add(time.Minute))
				_, err = io.Copy(io.Discard, conn)
				b.c.Check(time.Since(began) <= test.within, qt.IsTrue, qt.Commentf("after %s: %v", time.Since(began), err))
				_ = conn.Close()
				sending.Wait()
				// net/http waits before it closes a connection whose request it has not read whole.
				time.Sleep(time.Second)
				b.c.Check(sent <= maxHeadBytes+passedOver, qt.IsTrue, qt.Commentf("%d bytes", sent))
			})
		})
	}
}
