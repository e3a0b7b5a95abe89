package tunnel

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network"
)

// Dial connects to a runner through a peer. The error is an *Error unless ctx has ended.
func Dial(ctx context.Context, over network.Network, peer, runner string) (net.Conn, error) {
	conn, err := dialPeer(ctx, over, peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(targetTimeout))
	tunneled, err := ask(conn, over, peer, runner)
	if err == nil && !stop() {
		// The deadline of an ended ctx may still be set.
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tunneled, conn.SetDeadline(time.Time{})
}

func dialPeer(ctx context.Context, over network.Network, peer string) (net.Conn, error) {
	within, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := over.DialContext(within, "tcp", peer)
	if err != nil && ctx.Err() == nil {
		return nil, &Error{peer, CausePeer, err}
	}
	return conn, err
}

// ask sends the question for a tunnel and reads the answer.
func ask(conn net.Conn, over network.Network, peer, runner string) (net.Conn, error) {
	header := http.Header{framingHeader: {framingVersion}}
	question := &http.Request{Method: http.MethodConnect, Host: runner, URL: &url.URL{Opaque: runner}, Header: header}
	if err := question.Write(conn); err != nil {
		return nil, &Error{peer, CausePeer, err}
	}
	answer, reader, limited, err := readHead(conn, question)
	if err != nil {
		return nil, &Error{peer, CausePeer, err}
	}
	limited.allowAll()
	switch answer.StatusCode {
	case http.StatusOK:
		if answer.Header.Get(framingHeader) == framingVersion {
			return &framedConn{Conn: conn, reader: reader}, nil
		}
		return &unframedConn{Conn: conn, reader: reader, network: over, peer: peer}, nil
	case http.StatusBadGateway, http.StatusForbidden:
		return nil, &Error{peer, CauseRunner, errors.New(answer.Status)}
	}
	return nil, &Error{peer, CauseRejected, errors.New(answer.Status)}
}

// Tell sends a notice of a runner to the peer through which it was heard.
func Tell(ctx context.Context, over network.Network, peer string, told Notice) error {
	conn, err := dialPeer(ctx, over, peer)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(noticeTimeout))
	body, err := json.Marshal(told)
	if err != nil {
		return errors.Wrap(err, "encode a notice")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+noticePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "send a notice to "+peer)
	}
	if err := request.Write(conn); err != nil {
		return &Error{peer, CausePeer, err}
	}
	answer, _, _, err := readHead(conn, request)
	if err != nil {
		return &Error{peer, CausePeer, err}
	}
	if answer.StatusCode != http.StatusNoContent {
		return &Error{peer, CauseRejected, errors.New(answer.Status)}
	}
	return nil
}

// Watch calls observe with each Status of a peer until ctx ends or the peer is lost, and returns why.
func Watch(ctx context.Context, over network.Network, peer string, observe func(Status)) error {
	conn, err := dialPeer(ctx, over, peer)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	_ = conn.SetDeadline(time.Now().Add(statusTimeout))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", statusPath, peer); err != nil {
		return &Error{peer, CausePeer, err}
	}
	answer, _, limited, err := readHead(conn, nil)
	if err != nil {
		return &Error{peer, CausePeer, err}
	}
	limited.allow(maxStatusBytes)
	lines := json.NewDecoder(answer.Body)
	for {
		var status Status
		if err := lines.Decode(&status); err != nil {
			return &Error{peer, CausePeer, err}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = conn.SetDeadline(time.Now().Add(statusTimeout))
		if time.Since(limited.allowedAt) >= statusInterval {
			limited.allow(maxStatusBytes)
		}
		observe(status)
	}
}
