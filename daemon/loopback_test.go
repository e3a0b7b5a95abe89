package daemon

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

const (
	// firstTestNetwork and testNetworks give the range of second octets used by test
	// processes.
	firstTestNetwork = 32
	testNetworks     = 200
	// firstTestSubnet is above the third octets that package lab uses.
	firstTestSubnet = 240
	hostsPerSubnet  = 250
	// guardAddress is an address within a network on which the process that uses the
	// network listens.
	guardAddress = "255.254:7100"
)

// networkGuard prevents the listener from being garbage collected and closed.
var networkGuard net.Listener

// testNetwork returns the prefix of loopback addresses reserved for this test process,
// since several may run at once.
var testNetwork = sync.OnceValue(func() string {
	for attempt := range testNetworks {
		network := fmt.Sprintf("127.%d", firstTestNetwork+(os.Getpid()+attempt)%testNetworks)
		guard, err := net.Listen("tcp", network+"."+guardAddress)
		if err == nil {
			networkGuard = guard
			return network
		}
	}
	panic("all loopback networks for tests are in use")
})

// testHosts counts the daemons of all sites of this process.
var testHosts atomic.Uint32

// memoryNetwork is the address prefix of in-memory sites.
const memoryNetwork = "127.1"

// newSiteNetwork returns an in-memory network for a test, which runs in virtual time,
// and nil, meaning TCP, for a benchmark.
func newSiteNetwork(tb testing.TB) network.Network {
	if _, isTest := tb.(*testing.T); isTest {
		return networktest.NewMemory(0)
	}
	return nil
}

// newSiteRandom returns a random source for the daemons of a site, seeded with the name
// of the test.
func newSiteRandom(tb testing.TB) func() uint64 {
	var mutex sync.Mutex
	seeded := rand.NewPCG(seedOf(tb.Name(), ""), 1)
	return func() uint64 {
		mutex.Lock()
		defer mutex.Unlock()
		return seeded.Uint64()
	}
}

// testIP returns an unused loopback address of the network.
func testIP(over network.Network) string {
	prefix := memoryNetwork
	if over == nil {
		prefix = testNetwork()
	}
	host := testHosts.Add(1) - 1
	return fmt.Sprintf("%s.%d.%d", prefix, firstTestSubnet+host/hostsPerSubnet, 1+host%hostsPerSubnet)
}
