package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Address identifies a party on the simulated network ("zone-a/controller-1").
type Address string

// Quality describes the impairments of the network.
type Quality struct {
	// Loss, Duplicate and Straggle are probabilities. A straggler is delayed by up
	// to StraggleDelay, so that later messages can overtake it.
	Loss      float64
	Duplicate float64
	Straggle  float64
	// MinDelay and MaxDelay bound the regular one-way delay.
	MinDelay      time.Duration
	MaxDelay      time.Duration
	StraggleDelay time.Duration
}

// Network carries messages between parties with delay, loss, reordering, duplication
// and cuts. A cut does not affect messages already sent.
type Network struct {
	scheduler *Scheduler
	random    *rand.Rand
	trace     *Trace
	quality   Quality
	zones     map[Address]structs.ZoneID
	receivers map[Address]func(from Address, message any)
	cuts      map[route]int
	zoneCuts  map[zoneRoute]int
	sent      uint64
	delivered uint64
}

type route struct{ from, to Address }

type zoneRoute struct{ from, to structs.ZoneID }

// NewNetwork returns a network of the given quality.
func NewNetwork(scheduler *Scheduler, random *rand.Rand, trace *Trace, quality Quality) *Network {
	return &Network{
		scheduler: scheduler,
		random:    random,
		trace:     trace,
		quality:   quality,
		zones:     map[Address]structs.ZoneID{},
		receivers: map[Address]func(Address, any){},
		cuts:      map[route]int{},
		zoneCuts:  map[zoneRoute]int{},
	}
}

// Attach connects a party in the zone, replacing any earlier receiver of the
// address.
func (n *Network) Attach(address Address, zone structs.ZoneID, receive func(from Address, message any)) {
	n.zones[address] = zone
	n.receivers[address] = receive
}

func (n *Network) SetQuality(quality Quality) { n.quality = quality }

// Cut drops messages between the addresses in this direction until the matching
// Heal. Cuts are counted.
func (n *Network) Cut(from, to Address) { n.cuts[route{from, to}]++ }

// Heal undoes one Cut.
func (n *Network) Heal(from, to Address) { n.cuts[route{from, to}]-- }

// CutZones drops messages between the zones in this direction until the matching
// HealZones.
func (n *Network) CutZones(from, to structs.ZoneID) { n.zoneCuts[zoneRoute{from, to}]++ }

// HealZones undoes one CutZones.
func (n *Network) HealZones(from, to structs.ZoneID) { n.zoneCuts[zoneRoute{from, to}]-- }

// Reachable reports whether no cut drops a message sent now between the parties.
func (n *Network) Reachable(from, to Address) bool {
	if n.cuts[route{from, to}] > 0 {
		return false
	}
	return n.zoneCuts[zoneRoute{n.zones[from], n.zones[to]}] <= 0
}

// Send sends a message, which the receiver must not modify.
func (n *Network) Send(from, to Address, message any) {
	n.SendAfter(0, from, to, message)
}

// SendAfter sends a message that the sending machine first holds back. Cuts and
// losses are decided at the time of the call.
func (n *Network) SendAfter(held time.Duration, from, to Address, message any) {
	n.sent++
	if !n.Reachable(from, to) || n.chance(n.quality.Loss) {
		n.trace.Event("drop", string(from), string(to))
		return
	}
	n.carry(held, from, to, message)
	if n.chance(n.quality.Duplicate) {
		n.carry(held, from, to, message)
	}
}

func (n *Network) carry(held time.Duration, from, to Address, message any) {
	n.scheduler.After(held+n.delay(n.quality), func() {
		n.delivered++
		if receive := n.receivers[to]; receive != nil {
			receive(from, message)
		}
	})
}

// delay returns a random message delay for the quality.
func (n *Network) delay(quality Quality) time.Duration {
	delay := quality.MinDelay
	if quality.MaxDelay > quality.MinDelay {
		delay = between(n.random, quality.MinDelay, quality.MaxDelay)
	}
	if quality.StraggleDelay > 0 && n.chance(quality.Straggle) {
		delay += between(n.random, 0, quality.StraggleDelay)
	}
	return delay
}

// between returns a random duration in [least, most).
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (n *Network) chance(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
