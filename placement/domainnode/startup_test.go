package domainnode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// maxTimeToLeader is how long after a quorum is up and connected a leader must have begun.
const maxTimeToLeader = 600 * time.Millisecond

// startAfterPowerLoss starts the nodes in the given order. The first three processes listen
// within 60 ms, the others 0.23 to 0.33 s after the first. Each machine is up for bootTime before
// its process listens, and refuses connects for that time. Runners send heartbeats from the start,
// which the controllers try to pass on to all others.
func (d *testDomain) startAfterPowerLoss(order []int, bootTime time.Duration) {
	for _, index := range order {
		d.network.Cut(machineIP(index))
	}
	begun := time.Now().Add(bootTime)
	for place, index := range order {
		at := startOf(place)
		time.AfterFunc(time.Until(begun.Add(at-bootTime)), func() { d.network.Restore(machineIP(index)) })
	}
	for place, index := range order {
		at := startOf(place)
		pause.For(d.ctx, time.Until(begun.Add(at)))
		d.start(index)
		started := d.node(index)
		go func() { _, _ = started.describeOthers(d.ctx) }()
		go func() {
			for sequence := uint64(1); pause.For(d.ctx, 20*time.Millisecond); sequence++ {
				_ = started.Heartbeat(d.ctx, fleet.Heartbeat{
					Instance: fmt.Sprint("r", index), Service: "s", Address: "10.9.9.9:1", Slots: 4, Sequence: sequence,
				})
			}
		}()
	}
}

// startOf returns when the process at a place of the order listens.
func startOf(place int) time.Duration {
	if place < 3 {
		return time.Duration(place) * 30 * time.Millisecond
	}
	return 230*time.Millisecond + time.Duration(place-3)*50*time.Millisecond
}

// leads reports whether a controller leads and answers.
func (d *testDomain) leads() bool {
	for index := range maxTestNodes {
		if running := d.node(index); running != nil && running.Leads() {
			return true
		}
	}
	return false
}

// Machines that come up one after the other must have a leader soon after a quorum is there,
// although connects to machines that were still off got no answer.
func TestFirstLeaderAfterPowerLoss(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inDomain(t, func(d *testDomain) {
				const controllers = 6
				d.voters = 5
				d.start(0, 1, 2)
				d.awaitVoters(0, 1, 2)
				d.isBootstrapped = true
				d.start(3, 4, 5)
				isVoter := make(map[int]bool)
				d.await("five voters", func() bool {
					status, known := d.status(0)
					for index := range controllers {
						own, _ := d.status(index)
						isVoter[index] = status.CommittedMembership.HasVoter(own.Node)
					}
					return known && len(status.CommittedMembership.Voters) == d.voters
				})
				d.put(1)
				for index := range controllers {
					d.kill(index)
				}
				order := rand.New(rand.NewPCG(seed, 1)).Perm(controllers)
				began := time.Now()
				go d.startAfterPowerLoss(order, time.Duration(seed%3)*200*time.Millisecond)
				d.await("a quorum", func() bool {
					up := 0
					for index := range controllers {
						if _, known := d.status(index); known && isVoter[index] {
							up++
						}
					}
					return up > d.voters/2
				})
				quorumAt := time.Now()
				d.await("a leader", d.leads)
				took := time.Since(quorumAt)
				t.Logf("order %v, quorum after %v, leader %v later", order, quorumAt.Sub(began), took)
				d.c.Check(took <= maxTimeToLeader, qt.IsTrue, qt.Commentf("%v", took))
				pause.For(d.ctx, 2*time.Second)
			})
		})
	}
}
