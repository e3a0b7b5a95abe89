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
	// firstTestNetwork and testNetworks are the second octets for test processes.
	firstTestNetwork = 32
	testNetworks     = 200
	// firstTestSubnet keeps the third octet clear of those that package lab uses.
	firstTestSubnet = 240
	hostsPerSubnet  = 250
	// guardAddress, within a network, is held by the process that uses it.
	guardAddress = "255.254:7100"
)

// networkGuard keeps the listener from being collected, which would close it.
var networkGuard net.Listener

// testNetwork claims loopback addresses for this test process alone, since several
// may run at once.
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

// testHosts numbers the daemons of all sites of this process.
var testHosts atomic.Uint32

// memoryNetwork is the network of the addresses of sites in memory.
const memoryNetwork = "127.1"

// newSiteNetwork returns the network of a site: one in memory for a test, which runs
// in virtual time, and nil, which is TCP, for a benchmark.
func newSiteNetwork(tb testing.TB) network.Network {
	if _, isTest := tb.(*testing.T); isTest {
		return networktest.NewMemory(0)
	}
	return nil
}

// newSiteRandom returns a source for the daemons of a site that the name of the test
// seeds.
func newSiteRandom(tb testing.TB) func() uint64 {
	var mutex sync.Mutex
	seeded := rand.NewPCG(seedOf(tb.Name(), ""), 1)
	return func() uint64 {
		mutex.Lock()
		defer mutex.Unlock()
		return seeded.Uint64()
	}
}

// testIP returns a loopback address that nothing else uses in the network.
func testIP(over network.Network) string {
	prefix := memoryNetwork
	if over == nil {
		prefix = testNetwork()
	}
	host := testHosts.Add(1) - 1
	return fmt.Sprintf("%s.%d.%d", prefix, firstTestSubnet+host/hostsPerSubnet, 1+host%hostsPerSubnet)
}
