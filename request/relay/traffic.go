package relay

import (
	"net"

	"github.com/lotusferry/lotusferry/internal/traffic"
)

// runnerMessage is the label of the traffic with runners: requests, answers and probes.
const runnerMessage = "runner"

func newTraffic(options Options) *traffic.Counter {
	regions := make(map[string]string, len(options.Regions))
	for zone, region := range options.Regions {
		regions[string(zone)] = region
	}
	return traffic.NewCounter("router", string(options.Zone), regions)
}

// setTraffic has the dialer count the bytes of its connections. A dialer counts for one router.
func (c *RunnerDialer) setTraffic(counter *traffic.Counter) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.traffic = counter
}

// counted returns the connection with its bytes counted by the zone that the address has now.
func (c *RunnerDialer) counted(conn net.Conn, address string) net.Conn {
	c.mutex.Lock()
	counter, zone := c.traffic, c.zones[address]
	c.mutex.Unlock()
	if counter == nil {
		return conn
	}
	return counter.Conn(conn, runnerMessage, string(zone))
}
