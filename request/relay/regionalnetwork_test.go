package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// One-way latencies between zones of a region and between regions.
const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = 20 * time.Millisecond
)

// regionalNetwork is an in-memory network with latency between zones and regions, which counts
// bytes. Links can be cut: bytes then wait until the link is healed.
type regionalNetwork struct {
	memory *networktest.Memory
	// zones maps an IP to its zone, regions a zone to its region.
	zones   map[string]string
	regions map[string]string

	mutex sync.Mutex
	// isolated are IPs cut off from all others, cuts pairs of IPs cut off from each other.
	isolated map[string]bool
	cuts     map[[2]string]bool
	// muted are pairs of IPs: connections that the first has opened to the second get no answers.
	muted map[[2]string]bool
	// changed is closed and replaced when a link is cut or healed.
	changed chan struct{}
	// beyond counts the bytes between regions, by whether a router or two controllers exchange them.
	beyond map[bool]int
}

func newRegionalNetwork(zones, regions map[string]string) *regionalNetwork {
	return &regionalNetwork{
		memory: networktest.NewMemory(0), zones: zones, regions: regions,
		isolated: make(map[string]bool), beyond: make(map[bool]int), cuts: make(map[[2]string]bool), muted: make(map[[2]string]bool), changed: make(chan struct{}),
	}
}

// set changes links and wakes what waits for them.
func (n *regionalNetwork) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *regionalNetwork) isolate(ip string, isIsolated bool) {
	n.set(func() { n.isolated[ip] = isIsolated })
}

func (n *regionalNetwork) cut(a, b string, isCut bool) {
	n.set(func() { n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = isCut, isCut })
}

// mute holds back the answers on connections that one IP has opened to another.
func (n *regionalNetwork) mute(dialer, listener string, isMuted bool) {
	n.set(func() { n.muted[[2]string{dialer, listener}] = isMuted })
}

// awaitLink waits until the link between two IPs is open. It returns false if done is closed first.
func (n *regionalNetwork) awaitLink(a, b string, done <-chan struct{}) bool {
	return n.await(func() bool { return !n.isolated[a] && !n.isolated[b] && !n.cuts[[2]string{a, b}] }, done)
}

// awaitAnswers waits until answers pass on a connection. It returns false if done is closed first.
func (n *regionalNetwork) awaitAnswers(dialer, listener string, done <-chan struct{}) bool {
	return n.await(func() bool { return !n.muted[[2]string{dialer, listener}] }, done)
}

// await waits until a condition on the links holds. It returns false if done is closed first.
func (n *regionalNetwork) await(holds func() bool, done <-chan struct{}) bool {
	for {
		n.mutex.Lock()
		isOpen, changed := holds(), n.changed
		n.mutex.Unlock()
		if isOpen {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (n *regionalNetwork) isBeyond(a, b string) bool {
	return n.regions[n.zones[a]] != n.regions[n.zones[b]]
}

func (n *regionalNetwork) latency(a, b string) time.Duration {
	if n.isBeyond(a, b) {
		return regionLatency
	}
	return zoneLatency
}

func (n *regionalNetwork) count(a, b string, bytes int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isBeyond(a, b) {
		n.beyond[isRouterIP(a) || isRouterIP(b)] += bytes
	}
}

// bytesBeyond returns the bytes that crossed a region border to or from routers, and between
// controllers.
func (n *regionalNetwork) bytesBeyond() (ofRouters, ofControllers int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.beyond[true], n.beyond[false]
}

// from returns the network as seen from an IP.
func (n *regionalNetwork) from(ip string) network.Network { return networkAt{n, ip} }

type networkAt struct {
	regional *regionalNetwork
	ip       string
}

// Listen implements network.Network.
func (a networkAt) Listen(ctx context.Context, address string) (net.Listener, error) {
	return a.regional.memory.Listen(ctx, address)
}

// DialContext implements network.Network. A dial over a cut link waits for ctx to end.
func (a networkAt) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if !a.regional.awaitLink(a.ip, ip, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: protocol, Err: ctx.Err()}
	}
	timer := time.NewTimer(2 * a.regional.latency(a.ip, ip))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: protocol, Err: ctx.Err()}
	}
	far, err := a.regional.memory.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	own, near := net.Pipe()
	joined := &joinedConns{network: a.regional, dialer: a.ip, near: near, far: far, done: make(chan struct{})}
	go joined.pass(near, far, a.ip, ip)
	go joined.pass(far, near, ip, a.ip)
	return own, nil
}

// joinedConns passes bytes between two connections with latency.
type joinedConns struct {
	network *regionalNetwork
	// dialer is the IP that has opened the connection.
	dialer    string
	near, far net.Conn
	once      sync.Once
	done      chan struct{}
}

func (j *joinedConns) close() {
	j.once.Do(func() {
		close(j.done)
		_ = j.near.Close()
		_ = j.far.Close()
	})
}

type delayedBytes struct {
	due   time.Time
	bytes []byte
}

// pass passes the bytes from one connection to the other until either is closed.
func (j *joinedConns) pass(source, target net.Conn, from, to string) {
	queue := make(chan delayedBytes, 4096)
	go j.deliver(queue, target, from, to)
	defer close(queue)
	for {
		buffer := make([]byte, 32<<10)
		count, err := source.Read(buffer)
		if err != nil {
			return
		}
		j.network.count(from, to, count)
		queue <- delayedBytes{time.Now().Add(j.network.latency(from, to)), buffer[:count]}
	}
}

func (j *joinedConns) deliver(queue chan delayedBytes, target net.Conn, from, to string) {
	defer j.close()
	for each := range queue {
		timer := time.NewTimer(time.Until(each.due))
		select {
		case <-timer.C:
		case <-j.done:
			timer.Stop()
			return
		}
		if !j.network.awaitLink(from, to, j.done) || to == j.dialer && !j.network.awaitAnswers(to, from, j.done) {
			return
		}
		if _, err := target.Write(each.bytes); err != nil {
			return
		}
	}
	// The end of the stream takes the same way as its bytes.
	j.network.awaitLink(from, to, j.done)
}
