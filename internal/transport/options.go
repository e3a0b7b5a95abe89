package transport

import (
	"crypto/tls"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/option"
)

// The defaults for options that are zero.
const (
	DefaultDialTimeout  = 2 * time.Second
	DefaultCallTimeout  = 5 * time.Second
	DefaultMessageBytes = 64 << 20
	DefaultPendingCalls = 4096
)

// Options configure a Server or a Client; one value serves both.
type Options struct {
	// Address is what the server listens on, as host:port.
	Address string
	// ServerTLS and ClientTLS configure both ends; both nil means plain TCP, which
	// is for development on the loopback interface only.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// PeerTLS, when set, gives the client's configuration for an address in the place
	// of ClientTLS, so that the peer can be held to the name known for the address.
	PeerTLS func(address string) *tls.Config
	// DialTimeout bounds connecting, with the TLS handshake.
	DialTimeout time.Duration
	// CallTimeout bounds one call, and one write to a connection.
	CallTimeout time.Duration
	// MaxMessageBytes bounds one message, sent or received.
	MaxMessageBytes int
	// MaxPendingCalls bounds the calls in progress on one connection.
	MaxPendingCalls int
	// Network is what the server listens on and the client dials over; nil means TCP
	// with keep-alive probes.
	Network network.Network
	// Random draws the pauses after failed dials; nil means the global source. It is
	// called from several goroutines.
	Random func() uint64
	// Faults, when set, is asked before and after each call of the client.
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

// Stats counts the traffic of a Server or Client since it was made. Bytes are
// those on the wire, after TLS.
type Stats struct {
	BytesIn     uint64
	BytesOut    uint64
	Connections uint64
	// Calls and Failures are counted by clients only.
	Calls    uint64
	Failures uint64
}

// counters are the live values behind Stats.
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
