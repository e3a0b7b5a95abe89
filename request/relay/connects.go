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
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

// Connects dials runners. How long a connect may take is learned for each zone, so that one that is
// lost costs tens of milliseconds and not the half second that an unknown network is given. Make one
// with NewConnects; it is safe for concurrent use.
type Connects struct {
	network network.Network

	mutex sync.Mutex
	zones map[string]structs.ZoneID
	times zonewatch.ConnectTimes
}

var _ network.Network = (*Connects)(nil)

// NewConnects makes Connects over a network that know no runner's zone yet.
func NewConnects(over network.Network) *Connects { return &Connects{network: over} }

// Listen implements network.Network.
func (c *Connects) Listen(ctx context.Context, address string) (net.Listener, error) {
	return c.network.Listen(ctx, address)
}

// DialContext implements network.Network. It gives up after the timeout of the address.
func (c *Connects) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	return c.dialWithin(ctx, protocol, address, c.timeout(address))
}

func (c *Connects) dialWithin(parent context.Context, protocol, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	began := clock.Now()
	conn, err := c.network.DialContext(ctx, protocol, address)
	switch {
	case err == nil:
		c.observe(address, clock.Now().Sub(began))
	case parent.Err() == nil && isTimeout(err):
		c.observeTimeout(address)
	}
	return conn, err
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// lateFactor times its timeout is after how long a connect that failed tells nothing of the runner:
// the process itself was held up, and the timeout went off before the answer was looked at.
const lateFactor = 1.5

// probe connects to a runner and hangs up at once.
func (c *Connects) probe(ctx context.Context, address string) zonewatch.Outcome {
	began := clock.Now()
	timeout := c.timeout(address)
	conn, err := c.dialWithin(ctx, "tcp", address, timeout)
	switch {
	case err == nil:
		_ = conn.Close()
		return zonewatch.OutcomeAnswered
	case ctx.Err() != nil || clock.Now().Sub(began) > share(timeout, lateFactor):
		return zonewatch.OutcomeUnknown
	case isTimeout(err):
		return zonewatch.OutcomeFailed
	}
	return zonewatch.OutcomeRefused
}

// setZone adopts in which zone an address is.
func (c *Connects) setZone(address string, zone structs.ZoneID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.zones == nil {
		c.zones = make(map[string]structs.ZoneID)
	}
	c.zones[address] = zone
}

// forget drops the zone of an address at which there is no runner any more.
func (c *Connects) forget(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.zones, address)
}

func (c *Connects) timeout(address string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.times.Timeout(c.zones[address])
}

func (c *Connects) observe(address string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if zone := c.zones[address]; zone != "" {
		c.times.Observe(zone, took)
	}
}

func (c *Connects) observeTimeout(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if zone := c.zones[address]; zone != "" {
		c.times.ObserveTimeout(zone)
	}
}

// isUnmeasured reports whether too little is known of connects to a zone.
func (c *Connects) isUnmeasured(zone structs.ZoneID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.times.IsMeasured(zone)
}

// ways returns how much longer than to a runner of the own zone the way to one of each other zone is,
// there and back, as connects show; zones of which too little is known are left out.
func (c *Connects) ways(own structs.ZoneID) map[structs.ZoneID]time.Duration {
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
