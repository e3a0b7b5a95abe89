package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Address names a party on the simulated network ("zone-a/controller-1").
type Address string

// Quality says how badly the network treats messages.
type Quality struct {
	// Loss, Duplicate and Straggle are probabilities. A straggler is delayed by up
	// to StraggleDelay, so that messages sent later overtake it.
	Loss      float64
	Duplicate float64
	Straggle  float64
	// MinDelay and MaxDelay bound the ordinary one-way delay.
	MinDelay      time.Duration
	MaxDelay      time.Duration
	StraggleDelay time.Duration
}

// Network carries messages between parties with delay, loss, reordering,
// duplication and cuts. A message sent before a cut still arrives.
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

// NewNetwork makes a network of the given quality.
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

// Attach connects a party that lives in the zone. Attaching again replaces the receiver.
func (n *Network) Attach(address Address, zone structs.ZoneID, receive func(from Address, message any)) {
	n.zones[address] = zone
	n.receivers[address] = receive
}

// SetQuality changes the quality from now on.
func (n *Network) SetQuality(quality Quality) { n.quality = quality }

// Cut drops what from sends to to until the matching Heal. Cuts add up.
func (n *Network) Cut(from, to Address) { n.cuts[route{from, to}]++ }

// Heal ends one Cut.
func (n *Network) Heal(from, to Address) { n.cuts[route{from, to}]-- }

// CutZones drops what one zone sends to the other until the matching HealZones.
func (n *Network) CutZones(from, to structs.ZoneID) { n.zoneCuts[zoneRoute{from, to}]++ }

// HealZones ends one CutZones.
func (n *Network) HealZones(from, to structs.ZoneID) { n.zoneCuts[zoneRoute{from, to}]-- }

// Reachable reports whether a message sent now from one party to the other is carried.
func (n *Network) Reachable(from, to Address) bool {
	if n.cuts[route{from, to}] > 0 {
		return false
	}
	return n.zoneCuts[zoneRoute{n.zones[from], n.zones[to]}] <= 0
}

// Send carries a message. The receiver must not change it.
func (n *Network) Send(from, to Address, message any) {
	n.SendAfter(0, from, to, message)
}

// SendAfter carries a message that the sending machine holds back for some time
// first. Whether a cut drops it is decided now.
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

// delay draws the delay of one message on a network of the quality.
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

// between draws a duration of at least least and less than most.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (n *Network) chance(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
