package lab

import (
	"fmt"
	"os"
)

// The ports of a daemon, each on the daemon's own loopback address.
const (
	callersPort   = 7101
	operatorsPort = 7102
	internalPort  = 7103
	enginePort    = 7201
	storePort     = 7301
	machinesPort  = 7302
)

// addressPlan gives every node of a run its own address in 127.0.0.0/8, so that
// ports never collide. The second octet tells runs of different processes apart.
type addressPlan struct {
	second int
}

const (
	firstSecondOctet = 32
	secondOctets     = 200
	// nodesPerOctet leaves out .0 and .255.
	nodesPerOctet = 250
	// The third octets of the kinds of node begin here.
	daemonOctets   = 10
	engineOctets   = 60
	platformOctets = 200
)

func newAddressPlan() addressPlan {
	return addressPlan{second: firstSecondOctet + os.Getpid()%secondOctets}
}

func (p addressPlan) address(octet, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.second, octet+index/nodesPerOctet, 1+index%nodesPerOctet, port)
}

func (p addressPlan) daemon(index, port int) string { return p.address(daemonOctets, index, port) }
func (p addressPlan) engine(index int) string       { return p.address(engineOctets, index, enginePort) }
func (p addressPlan) store() string                 { return p.address(platformOctets, 0, storePort) }
func (p addressPlan) machines() string              { return p.address(platformOctets, 1, machinesPort) }
