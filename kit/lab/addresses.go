package lab

import (
	"fmt"
	"os"
)

// Ports of the nodes. Each node listens on its own loopback address.
const (
	callersPort   = 7101
	operatorsPort = 7102
	internalPort  = 7103
	enginePort    = 7201
	storePort     = 7301
	machinesPort  = 7302
)

// addressPlan assigns each node of a run its own address in 127.0.0.0/8, so that ports
// do not collide. The second octet distinguishes the runs of different processes.
type addressPlan struct {
	second int
}

const (
	firstSecondOctet = 32
	secondOctets     = 200
	// nodesPerOctet excludes .0 and .255.
	nodesPerOctet = 250
	// First third octets by kind of node.
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
