package simulate

import "time"

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault. Each lasts for Fault.For and then heals.
const (
	// FaultCrash kills a machine after Amount further steps; it restarts from its
	// disk.
	FaultCrash FaultKind = "crash"
	// FaultPause suspends a machine's processes, which keep their state.
	FaultPause FaultKind = "pause"
	// FaultDrift makes a machine's clock run at the rate Amount.
	FaultDrift FaultKind = "drift"
	// FaultClockStep shifts a machine's wall clock by Amount seconds.
	FaultClockStep FaultKind = "clock-step"
	// FaultCutZone isolates a zone from all others.
	FaultCutZone FaultKind = "cut-zone"
	// FaultCutOneWay drops messages from Target's zone to Peer's.
	FaultCutOneWay FaultKind = "cut-one-way"
	// FaultCutMachine isolates a machine from the other control machines in both
	// directions.
	FaultCutMachine FaultKind = "cut-machine"
	// FaultSilentLeader isolates the current leader of zone Target; its orders to
	// engines are delayed.
	FaultSilentLeader FaultKind = "silent-leader"
	// FaultReplaceDisk crashes a machine and replaces its disk by an empty one.
	FaultReplaceDisk FaultKind = "replace-disk"
	// FaultReplaceTwice replaces the disk of Target and, as soon as Target's new
	// member votes, that of Peer.
	FaultReplaceTwice FaultKind = "replace-twice"
	// FaultDiskFull makes every write of a machine fail.
	FaultDiskFull FaultKind = "disk-full"
	// FaultDiskSlow makes each sync take Amount seconds.
	FaultDiskSlow FaultKind = "disk-slow"
	// FaultStorm makes the network lose, duplicate and reorder a share Amount of the
	// messages.
	FaultStorm FaultKind = "storm"
	// FaultEngineCrash kills an engine, which restarts empty with the next
	// incarnation.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultEngineCut isolates an engine from its zone's controllers.
	FaultEngineCut FaultKind = "engine-cut"
	// FaultLoadingDeath kills, while an engine of zone Target loads, either that
	// engine or the zone's leader, as Peer says.
	FaultLoadingDeath FaultKind = "loading-death"
	// FaultReclaim lists an engine's machine as leaving and removes it Amount
	// seconds later; a new one replaces it when the fault ends.
	FaultReclaim FaultKind = "reclaim"
	// FaultStoreSlow makes fetches from the weight store take Amount times as long.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultRestartSite crashes all machines, each for at most the duration of the
	// fault.
	FaultRestartSite FaultKind = "restart-site"
	// FaultEditBurst makes operators edit without pauses; FaultRace also makes them
	// edit the same row from the version they first read.
	FaultEditBurst FaultKind = "edit-burst"
	FaultRace      FaultKind = "race"
	// FaultLostAnswers drops a share Amount of the answers to edits.
	FaultLostAnswers FaultKind = "lost-answers"
	// FaultTransfer asks the leader of the group Target to transfer leadership.
	FaultTransfer FaultKind = "transfer"
)

// Fault is one planned fault, derived from the seed before the run.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at_nanoseconds"`
	For    time.Duration `json:"for_nanoseconds"`
	Target string        `json:"target,omitempty"`
	Peer   string        `json:"peer,omitempty"`
	Amount float64       `json:"amount,omitempty"`
}
