package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answered is what a client got for an attempt.
type answered struct {
	attempt, method string
	// status is 0 if the connection ended without an answer.
	status int
	header http.Header
	body   string
}

// client sends requests to one router on a connection that it keeps.
type client struct {
	site   *site
	router *machine
	conn   net.Conn
	reader *bufio.Reader
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.router.ip, portFrontend), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt and reads its answer. headers ends with \r\n unless it is empty.
func (c *client) send(method, host, path, headers, body string, wait time.Duration) answered {
	got := answered{attempt: newAttempt(), method: method}
	if err := c.connect(); err != nil {
		c.site.record.write("client: %s does not accept a connection: %v", c.router.name, err)
		return got
	}
	c.site.record.write("client sends %s (%s %s) to %s", got.attempt, method, path, c.router.name)
	_ = c.conn.SetDeadline(time.Now().Add(wait + time.Second))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, got.attempt, wait.Milliseconds(), headers, len(body), body)
	if err == nil {
		err = c.read(&got, method)
	}
	if err != nil {
		c.site.record.write("client: the connection for %s ended: %v", got.attempt, err)
		c.close()
		return got
	}
	c.site.record.write("client gets %d for %s", got.status, got.attempt)
	return got
}

func (c *client) read(into *answered, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	into.status, into.header, into.body = response.StatusCode, response.Header, string(body)
	if response.Close {
		c.close()
	}
	return nil
}
