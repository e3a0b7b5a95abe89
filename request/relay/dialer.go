package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/traffic"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/tunnel"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

// RunnerDialer dials runners. It learns the connect timeout of each zone, so that a lost connect costs
// tens of milliseconds rather than the default of half a second. Create one with NewRunnerDialer. It is
// safe for concurrent use.
type RunnerDialer struct {
	network network.Network

	mutex sync.Mutex
	zones map[string]structs.ZoneID
	times zonewatch.ConnectTimes
	// traffic counts the bytes of connections; nil before a router uses the dialer.
	traffic *traffic.Counter
}

var _ network.Network = (*RunnerDialer)(nil)

// NewRunnerDialer returns a RunnerDialer over the given network that knows the zone of no runner yet.
func NewRunnerDialer(over network.Network) *RunnerDialer { return &RunnerDialer{network: over} }

// Listen implements network.Network.
func (c *RunnerDialer) Listen(ctx context.Context, address string) (net.Listener, error) {
	return c.network.Listen(ctx, address)
}

// DialContext implements network.Network. It applies the timeout of the address's zone.
func (c *RunnerDialer) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	return c.dialWithin(ctx, protocol, address, c.timeout(address))
}

// DialThrough connects to a runner through the peer at the given address. The error is a *tunnel.Error unless ctx
// has ended.
func (c *RunnerDialer) DialThrough(ctx context.Context, peer, address string) (net.Conn, error) {
	conn, err := tunnel.Dial(ctx, c.network, peer, address)
	if err != nil {
		return nil, err
	}
	return c.counted(conn, address), nil
}

func (c *RunnerDialer) dialWithin(parent context.Context, protocol, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	began := clock.Now()
	conn, err := c.network.DialContext(ctx, protocol, address)
	switch {
	case err == nil:
		c.observeConnect(address, clock.Now().Sub(began))
		return c.counted(conn, address), nil
	case parent.Err() == nil && isTimeout(err):
		c.observeTimeout(address)
	}
	return conn, err
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// lateFactor times the timeout is the time after which a failed connect says nothing about the
// runner, because the process itself was delayed.
const lateFactor = 1.5

// probe connects to a runner and closes the connection at once.
func (c *RunnerDialer) probe(ctx context.Context, address string) zonewatch.Outcome {
	conn, outcome := c.dialForProbe(ctx, address)
	if conn != nil {
		_ = conn.Close()
	}
	return outcome
}

// dialForProbe connects to a runner and returns the connection if it was answered, and what the connect tells.
func (c *RunnerDialer) dialForProbe(ctx context.Context, address string) (net.Conn, zonewatch.Outcome) {
	began := clock.Now()
	timeout := c.timeout(address)
	conn, err := c.dialWithin(ctx, "tcp", address, timeout)
	switch {
	case err == nil:
		return conn, zonewatch.OutcomeAnswered
	case ctx.Err() != nil || clock.Now().Sub(began) > fraction(timeout, lateFactor):
		return nil, zonewatch.OutcomeUnknown
	case isTimeout(err):
		return nil, zonewatch.OutcomeFailed
	}
	return nil, zonewatch.OutcomeRefused
}

// setZone sets the zone of an address.
func (c *RunnerDialer) setZone(address string, zone structs.ZoneID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.zones == nil {
		c.zones = make(map[string]structs.ZoneID)
	}
	c.zones[address] = zone
}

// forget drops the zone of an address that no runner uses any more.
func (c *RunnerDialer) forget(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.zones, address)
}

func (c *RunnerDialer) timeout(address string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.times.Timeout(c.zones[address])
}

func (c *RunnerDialer) observeConnect(address string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if zone := c.zones[address]; zone != "" {
		c.times.Observe(zone, took)
	}
}

func (c *RunnerDialer) observeTimeout(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if zone := c.zones[address]; zone != "" {
		c.times.ObserveTimeout(zone)
	}
}

// isUnmeasured reports whether too few connects to a zone were measured.
func (c *RunnerDialer) isUnmeasured(zone structs.ZoneID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.times.IsMeasured(zone)
}

// extraLatencies returns how much longer a round trip to each other zone takes than one within own.
// Zones with too few measurements are left out.
func (c *RunnerDialer) extraLatencies(own structs.ZoneID) map[structs.ZoneID]time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	near := c.times.Mean(own)
	if near == 0 {
		return nil
	}
	found := make(map[structs.ZoneID]time.Duration)
	for _, zone := range c.zones {
		if mean := c.times.Mean(zone); zone != own && mean > 0 {
			found[zone] = max(0, mean-near)
		}
	}
	return found
}

// acceptedTime is how long a connection must last after it was accepted for a probe of a path to succeed. A proxy that has
// lost its target accepts connections, and resets them then.
const acceptedTime = 30 * time.Millisecond

// probePath connects to a runner over a path and closes the connection after acceptedTime.
func (c *RunnerDialer) probePath(ctx context.Context, path paths.Path, address string) paths.Outcome {
	if path.IsDirect() {
		return c.probeDirectly(ctx, address)
	}
	conn, err := c.DialThrough(ctx, path.Peer, address)
	if err != nil {
		return outcomeOf(err)
	}
	return outcomeAfterAccept(conn)
}

func (c *RunnerDialer) probeDirectly(ctx context.Context, address string) paths.Outcome {
	conn, outcome := c.dialForProbe(ctx, address)
	switch outcome {
	case zonewatch.OutcomeAnswered:
		return outcomeAfterAccept(conn)
	case zonewatch.OutcomeUnknown:
		return paths.OutcomeUnknown
	}
	return paths.OutcomeMissed
}

// outcomeAfterAccept closes a connection after acceptedTime and reports whether it lasted so long.
func outcomeAfterAccept(conn net.Conn) paths.Outcome {
	defer conn.Close()
	_ = conn.SetReadDeadline(clock.Now().Add(acceptedTime))
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		return paths.OutcomeReached
	}
	return paths.OutcomeMissed
}
