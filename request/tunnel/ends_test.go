package tunnel

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// killPeer closes the sockets of the peer's tunnels as the system does when the process is killed.
func (b *bench) killPeer() {
	b.server.mutex.Lock()
	defer b.server.mutex.Unlock()
	for each := range b.server.open {
		_ = each.router.Close()
		_ = each.runner.Close()
	}
}

// Guards against a killed peer whose tunnels end as if the runner had ended them (MIXED), at whatever byte.
func TestEndOfPeerIsNotEndOfRunner(t *testing.T) {
	for _, sent := range []string{"", "half", strings.Repeat("x", 3*copyBytes)} {
		t.Run(fmt.Sprint(len(sent), " bytes"), func(t *testing.T) {
			inBench(t, func(b *bench) {
				router, runner := b.open()
				_, err := io.WriteString(runner, sent)
				b.c.Assert(err, qt.IsNil)
				synctest.Wait()
				b.killPeer()
				read, err := io.ReadAll(router)
				b.c.Assert(err, qt.ErrorIs, ErrPeerEnded)
				b.c.Assert(string(read), qt.Equals, sent)
				_, _ = router.Close(), runner.Close()
			})
		})
	}
}

// Guards against an end of the runner that is lost, or ends that are mistaken for each other because parts and frames are split
// at any byte.
func TestFramesArriveInParts(t *testing.T) {
	c := qt.New(t)
	var sent strings.Builder
	frames := &frameWriter{to: &sent}
	for _, part := range []string{"a", "", strings.Repeat("b", 300), "c"} {
		count, err := io.WriteString(frames, part)
		c.Assert(err, qt.IsNil)
		c.Assert(count, qt.Equals, len(part))
	}
	whole := "a" + strings.Repeat("b", 300) + "c"
	c.Assert(frames.writeEnd(false), qt.IsNil)
	for length := range sent.Len() - countBytes {
		read, err := io.ReadAll(&framedConn{reader: bufio.NewReader(oneByteReader{strings.NewReader(sent.String()[:length])})})
		c.Assert(err, qt.ErrorIs, ErrPeerEnded, qt.Commentf("%d bytes", length))
		c.Assert(strings.HasPrefix(whole, string(read)), qt.IsTrue)
	}
	for _, rest := range []string{sent.String()[:sent.Len()-countBytes], sent.String()[:sent.Len()-1], sent.String(), sent.String() + "more"} {
		conn := &framedConn{reader: bufio.NewReader(oneByteReader{strings.NewReader(rest)})}
		read, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(read), qt.Equals, whole)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
	}
}

// Guards against an answer without a length that looks whole although its runner closed the connection amid the upload, and reset it
// when more of the upload arrived (MIXED); and against the loss of one whose runner reads the rest of the upload, or whose peer tells
// nothing.
func TestEndAmidUploadIsConfirmed(t *testing.T) {
	const settleTime = 200 * time.Millisecond
	for name, test := range map[string]struct {
		// proceed is what the runner does after it has ended its sending side.
		proceed func(runner net.Conn)
		want    error
		takes   time.Duration
	}{
		"the runner resets":        {reset, syscall.ECONNRESET, 0},
		"the runner reads on":      {func(runner net.Conn) { _, _ = io.Copy(io.Discard, runner) }, nil, 0},
		"the runner stops reading": {func(net.Conn) {}, nil, settleTime},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				router, runner := b.open()
				var uploading sync.WaitGroup
				uploading.Go(func() { _, _ = io.WriteString(router, strings.Repeat("x", 4*networktest.DefaultBufferBytes)) })
				synctest.Wait()
				_, err := io.WriteString(runner, "answer")
				b.c.Assert(err, qt.IsNil)
				b.c.Assert(runner.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
				read, err := io.ReadAll(router)
				b.c.Assert(err, qt.IsNil)
				b.c.Assert(string(read), qt.Equals, "answer")
				uploading.Go(func() { test.proceed(runner) })
				began := time.Now()
				err = router.(*framedConn).ConfirmEnd(settleTime)
				b.c.Assert(time.Since(began), qt.Equals, test.takes)
				if test.want == nil {
					b.c.Assert(err, qt.IsNil)
				} else {
					b.c.Assert(err, qt.ErrorIs, test.want)
				}
				_ = router.Close()
				uploading.Wait()
				_ = runner.Close()
			})
		})
	}
}

// Guards against an answer that is lost as its runner resets the connection after it, while the request is still being written.
func TestAnswerBeforeResetArrives(t *testing.T) {
	inBench(t, func(b *bench) {
		router, runner := b.open()
		answer := strings.Repeat("answer", 8*copyBytes)
		var uploading sync.WaitGroup
		uploading.Go(func() { _, _ = io.WriteString(router, strings.Repeat("x", 4*networktest.DefaultBufferBytes)) })
		synctest.Wait()
		_, err := io.WriteString(runner, answer)
		b.c.Assert(err, qt.IsNil)
		reset(runner)
		uploading.Wait()
		read, err := io.ReadAll(router)
		b.c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		b.c.Assert(string(read) == answer, qt.IsTrue, qt.Commentf("%d bytes", len(read)))
		_ = router.Close()
	})
}

// oneByteReader reads one byte at a time.
type oneByteReader struct{ from io.Reader }

// Read implements io.Reader.
func (r oneByteReader) Read(buffer []byte) (int, error) {
	return r.from.Read(buffer[:min(1, len(buffer))])
}

// formerPeer is a peer of the version before frames.
type formerPeer struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
}

func serveFormerPeer(t *testing.T, memory *networktest.Memory) *formerPeer {
	t.Helper()
	listener, err := memory.Listen(t.Context(), peerAddress)
	qt.Assert(t, err, qt.IsNil)
	p := &formerPeer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// serve sends a tunnel's bytes without frames, or a status.
func (p *formerPeer) serve(conn net.Conn) {
	question, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	if question.Method == http.MethodConnect {
		p.mutex.Lock()
		p.conns = append(p.conns, conn)
		p.mutex.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 Connected\r\n\r\nanswer")
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	_ = json.NewEncoder(conn).Encode(Status{})
}

// closeTunnels ends the tunnels as the runner's end does.
func (p *formerPeer) closeTunnels() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.conns {
		_ = each.Close()
	}
}

// Guards, while routers are replaced by those of this version, against answers without a length that are lost at a peer of the
// version before, or that it cuts when it is killed and that look whole (MIXED).
func TestEndOfTunnelThroughFormerPeer(t *testing.T) {
	for name, test := range map[string]struct {
		isKilled bool
		want     error
	}{
		"the runner ends":    {false, nil},
		"the peer is killed": {true, ErrPeerEnded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				peer := serveFormerPeer(t, memory)
				defer peer.listener.Close()
				conn, err := Dial(t.Context(), memory, peerAddress, runnerAddress)
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				if test.isKilled {
					c.Assert(peer.listener.Close(), qt.IsNil)
				}
				peer.closeTunnels()
				read, err := io.ReadAll(conn)
				c.Assert(err, qt.Equals, test.want)
				c.Assert(string(read), qt.Equals, "answer")
			})
		})
	}
}

// A router of the version before asks for no frames and reads the bytes as the runner sent them, with ends of the same kind.
func TestFormerRouterReadsPlainBytes(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(conn net.Conn)
		want error
	}{
		"the runner ends":   {func(conn net.Conn) { _ = conn.Close() }, nil},
		"the runner resets": {reset, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(b *bench) {
				conn, err := b.router.DialContext(b.c.Context(), "tcp", peerAddress)
				b.c.Assert(err, qt.IsNil)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", runnerAddress, runnerAddress)
				b.c.Assert(err, qt.IsNil)
				runner := <-b.accepted
				_, err = io.WriteString(runner, "answer")
				b.c.Assert(err, qt.IsNil)
				synctest.Wait()
				test.end(runner)
				read, err := io.ReadAll(conn)
				b.c.Assert(string(read), qt.Equals, "HTTP/1.1 200 Connected\r\n\r\nanswer")
				if test.want == nil {
					b.c.Assert(err, qt.IsNil)
				} else {
					b.c.Assert(err, qt.ErrorIs, test.want)
				}
			})
		})
	}
}
