package simulate

import "time"

const (
	// dialTimeout bounds the wait for a connection.
	dialTimeout = time.Second
	// resendInterval is the retry interval of a connection during a cut.
	resendInterval = 200 * time.Millisecond
)

// connection carries messages in order between a client and a server in both
// directions. Like with TCP, messages wait during a cut.
type connection struct {
	up   pipe
	down pipe
}

// connectionEnd holds the callbacks of one end of a connection.
type connectionEnd struct {
	receive func(message any)
	// ended is called when the other end closed the connection or its process died.
	ended func()
}

// endMessage follows the last message when one end closes the connection.
type endMessage struct{}

// newConnection connects two parties. Set the callbacks of both ends before sending.
func newConnection(network *Network, client, server Address) *connection {
	return &connection{
		up:   pipe{network: network, from: client, to: server},
		down: pipe{network: network, from: server, to: client},
	}
}

// closeClient ends the connection from the client's side.
func (c *connection) closeClient() {
	c.down.closed = true
	c.up.send(endMessage{})
	c.up.sealed = true
}

// closeServer ends the connection from the server's side.
func (c *connection) closeServer() {
	c.up.closed = true
	c.down.send(endMessage{})
	c.down.sealed = true
}

// drop ends both directions without notice, as a power loss does.
func (c *connection) drop() {
	c.up.closed = true
	c.down.closed = true
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to Address
	end      connectionEnd
	waiting  []any
	busy     bool
	// sealed accepts no more messages, closed delivers none.
	sealed bool
	closed bool
}

func (p *pipe) send(message any) {
	if p.sealed || p.closed {
		return
	}
	p.waiting = append(p.waiting, message)
	if !p.busy {
		p.busy = true
		p.carry()
	}
}

// carry delivers the first queued message once the network permits it.
func (p *pipe) carry() {
	scheduler := p.network.scheduler
	if p.closed {
		p.busy = false
		return
	}
	if !p.network.Reachable(p.from, p.to) {
		scheduler.After(resendInterval, p.carry)
		return
	}
	scheduler.After(p.network.latency(p.from, p.to), func() {
		message := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.deliver(message)
		p.busy = len(p.waiting) > 0
		if p.busy {
			p.carry()
		}
	})
}

func (p *pipe) deliver(message any) {
	if p.closed {
		return
	}
	if _, ended := message.(endMessage); ended {
		p.closed = true
		if p.end.ended != nil {
			p.end.ended()
		}
		return
	}
	if p.end.receive != nil {
		p.end.receive(message)
	}
}

// latency returns a random message delay. Callers are next to their routers, so
// storms do not affect them.
func (n *Network) latency(from, to Address) time.Duration {
	if from == callerAddress || to == callerAddress {
		return n.delay(calmNetwork)
	}
	return n.delay(n.quality)
}

// dial connects a client to a server. It calls opened with the connection, or failed
// if the server is not reachable.
func (s *requestSite) dial(client, server Address, listening func() bool, opened func(*connection), failed func()) {
	reachable := s.network.Reachable(client, server) && s.network.Reachable(server, client)
	if !reachable {
		s.scheduler.After(dialTimeout, failed)
		return
	}
	s.scheduler.After(s.network.latency(client, server), func() {
		if !listening() {
			failed()
			return
		}
		opened(newConnection(s.network, client, server))
	})
}
