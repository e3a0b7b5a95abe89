package transport

import (
	"crypto/tls"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/option"
)

// Defaults of zero options.
const (
	DefaultDialTimeout  = 2 * time.Second
	DefaultCallTimeout  = 5 * time.Second
	DefaultMessageBytes = 64 << 20
	DefaultPendingCalls = 4096
)

// Options configures a Server or a Client.
type Options struct {
	// Address is the listen address of the server, as host:port.
	Address string
	// ServerTLS and ClientTLS configure TLS; nil means plain TCP, for development on the
	// loopback interface only.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// PeerTLS, if set, returns the client's configuration for an address and replaces
	// ClientTLS, so that the peer's identity can be verified per address.
	PeerTLS func(address string) *tls.Config
	// DialTimeout bounds connecting, including the TLS handshake.
	DialTimeout time.Duration
	// CallTimeout bounds each call, from when it has a connection, and each write to a
	// connection.
	CallTimeout time.Duration
	// MaxMessageBytes bounds the size of each message, sent or received.
	MaxMessageBytes int
	// MaxPendingCalls bounds the calls in progress per connection.
	MaxPendingCalls int
	// Network is used to listen and dial; nil means TCP with keep-alive probes.
	Network network.Network
	// Random is the source of the jitter of dial backoffs; nil means the global source. It
	// must be safe for concurrent use.
	Random func() uint64
	// OnMessage, if set, is called by the client for each request sent and each reply received, with
	// the bytes of the messages before TLS. It must be safe for concurrent use and must not block.
	OnMessage func(address, method string, sent, received int)
	// Faults, if set, injects faults into the calls of the client.
	Faults *Faults
}

func (o Options) withDefaults() Options {
	option.Positive(&o.DialTimeout, DefaultDialTimeout)
	option.Positive(&o.CallTimeout, DefaultCallTimeout)
	option.Positive(&o.MaxMessageBytes, DefaultMessageBytes)
	option.Positive(&o.MaxPendingCalls, DefaultPendingCalls)
	if o.Random == nil {
		o.Random = rand.Uint64
	}
	if o.Network == nil {
		o.Network = network.TCP{KeepAlive: keepAlive}
	}
	return o
}

// Stats holds the traffic counters of a Server or Client since its creation. Bytes are
// counted on the wire, including TLS.
type Stats struct {
	BytesIn     uint64
	BytesOut    uint64
	Connections uint64
	// Calls and Failures are counted by clients only.
	Calls    uint64
	Failures uint64
}

// counters holds the atomic values of Stats.
type counters struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	connections atomic.Uint64
	calls       atomic.Uint64
	failures    atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
		Connections: c.connections.Load(),
		Calls:       c.calls.Load(),
		Failures:    c.failures.Load(),
	}
}
