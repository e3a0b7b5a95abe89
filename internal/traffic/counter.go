package traffic

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Nearness is the distance to a peer in terms of zones and regions.
type Nearness string

// The values of Nearness. NearnessUnknown means that the zone or region of one side is unknown.
const (
	NearnessSameZone   Nearness = "same_zone"
	NearnessSameRegion Nearness = "same_region"
	NearnessBeyond     Nearness = "beyond"
	NearnessUnknown    Nearness = "unknown"
)

// The directions, as seen by the process that counts.
const (
	sent     = "sent"
	received = "received"
)

// Counter counts the traffic of a process. It is a prometheus.Collector and safe for concurrent use.
type Counter struct {
	*prometheus.CounterVec
	zone    string
	regions map[string]string
	// peerZones maps the addresses of peers to their zones; nil before SetPeerZones.
	peerZones atomic.Pointer[map[string]string]
}

// NewCounter returns the counter lotusferry_SUBSYSTEM_traffic_bytes_total of a process in the zone,
// which is empty if it has none. regions maps zones to regions.
func NewCounter(subsystem, zone string, regions map[string]string) *Counter {
	return &Counter{
		CounterVec: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "lotusferry", Subsystem: subsystem, Name: "traffic_bytes_total",
			Help: "Bytes exchanged with controllers and runners that this process called, by message, direction and nearness of the peer.",
		}, []string{"message", "direction", "nearness"}),
		zone: zone, regions: regions,
	}
}

// NearnessOf returns the nearness of a peer in the zone, which is empty if it is unknown.
func (c *Counter) NearnessOf(zone string) Nearness {
	if zone == "" || c.zone == "" {
		return NearnessUnknown
	}
	if zone == c.zone {
		return NearnessSameZone
	}
	own, isKnown := c.regions[c.zone]
	other, isOtherKnown := c.regions[zone]
	switch {
	case !isKnown || !isOtherKnown:
		return NearnessUnknown
	case own == other:
		return NearnessSameRegion
	}
	return NearnessBeyond
}

// Add counts bytes of a message to and from a peer in the zone.
func (c *Counter) Add(message, zone string, bytesSent, bytesReceived int) {
	nearness := string(c.NearnessOf(zone))
	if bytesSent > 0 {
		c.WithLabelValues(message, sent, nearness).Add(float64(bytesSent))
	}
	if bytesReceived > 0 {
		c.WithLabelValues(message, received, nearness).Add(float64(bytesReceived))
	}
}

// SetPeerZones sets the zones of the peers that AddMessage counts, by address. The map must not be
// modified afterwards.
func (c *Counter) SetPeerZones(zones map[string]string) { c.peerZones.Store(&zones) }

// AddMessage counts a message to or from the peer at an address. It can be used as
// transport.Options.OnMessage.
func (c *Counter) AddMessage(address, message string, bytesSent, bytesReceived int) {
	zone := ""
	if zones := c.peerZones.Load(); zones != nil {
		zone = (*zones)[address]
	}
	c.Add(message, zone, bytesSent, bytesReceived)
}
