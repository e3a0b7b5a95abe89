package tunnel

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// endlessBytes is how much a test sends in place of bytes without end.
const endlessBytes = 32 << 20

// sendEndless writes the start, and then the piece until endlessBytes or an error, and returns the number of bytes.
func sendEndless(to io.Writer, start, piece string) (sent int) {
	piece = strings.Repeat(piece, 1+4096/len(piece))
	_, err := io.WriteString(to, start)
	for sent = len(start); err == nil && sent < endlessBytes; {
		var count int
		count, err = io.WriteString(to, piece)
		sent += count
	}
	return sent
}

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
					sent <- sendEndless(conn, test.start, test.piece)
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
		go func() { sent <- sendEndless(runner, "", "x") }()
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
