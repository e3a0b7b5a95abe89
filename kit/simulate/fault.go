package simulate

import "time"

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of fault. Each lasts for Fault.For and is healed then.
const (
	// FaultCrash kills a machine after Amount further steps of its work; it starts again from its disk.
	FaultCrash FaultKind = "crash"
	// FaultPause stops a machine's processes; they go on believing what they believed.
	FaultPause FaultKind = "pause"
	// FaultDrift lets a machine's clock run at the rate Amount.
	FaultDrift FaultKind = "drift"
	// FaultClockStep moves a machine's wall clock by Amount seconds.
	FaultClockStep FaultKind = "clock-step"
	// FaultCutZone cuts a zone off from all others.
	FaultCutZone FaultKind = "cut-zone"
	// FaultCutOneWay drops what Target's zone sends to Peer's.
	FaultCutOneWay FaultKind = "cut-one-way"
	// FaultCutMachine cuts a machine off from its fellows in both directions.
	FaultCutMachine FaultKind = "cut-machine"
	// FaultSilentLeader cuts off the machine that leads zone Target then; its orders
	// to engines are held back and arrive late.
	FaultSilentLeader FaultKind = "silent-leader"
	// FaultReplaceDisk crashes a machine and gives it an empty disk.
	FaultReplaceDisk FaultKind = "replace-disk"
	// FaultReplaceTwice replaces the disk of Target and, as soon as Target's new
	// member votes, that of Peer.
	FaultReplaceTwice FaultKind = "replace-twice"
	// FaultDiskFull makes every write of a machine fail.
	FaultDiskFull FaultKind = "disk-full"
	// FaultDiskSlow makes a sync take Amount seconds.
	FaultDiskSlow FaultKind = "disk-slow"
	// FaultStorm makes the network lose, duplicate and reorder a share Amount of the messages.
	FaultStorm FaultKind = "storm"
	// FaultEngineCrash kills an engine; it comes back empty as another incarnation.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultEngineCut cuts an engine off from its zone's controllers.
	FaultEngineCut FaultKind = "engine-cut"
	// FaultLoadingDeath kills, while an engine of zone Target loads, that engine or
	// the zone's leader; Peer says which.
	FaultLoadingDeath FaultKind = "loading-death"
	// FaultReclaim lists an engine's machine as leaving and takes it away Amount
	// seconds later; another one takes its place when the fault is over.
	FaultReclaim FaultKind = "reclaim"
	// FaultStoreSlow makes fetches from the weight store take Amount times as long.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultRestartSite crashes all machines, each for at most the fault's time.
	FaultRestartSite FaultKind = "restart-site"
	// FaultEditBurst makes operators edit without pausing; FaultRace also makes them
	// edit the same row as they first saw it.
	FaultEditBurst FaultKind = "edit-burst"
	FaultRace      FaultKind = "race"
	// FaultLostAnswers loses a share Amount of the answers to edits.
	FaultLostAnswers FaultKind = "lost-answers"
	// FaultTransfer asks the leader of the group Target to hand over leadership.
	FaultTransfer FaultKind = "transfer"
)

// Fault is one thing that goes wrong, planned before the run from the seed.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at_nanoseconds"`
	For    time.Duration `json:"for_nanoseconds"`
	Target string        `json:"target,omitempty"`
	Peer   string        `json:"peer,omitempty"`
	Amount float64       `json:"amount,omitempty"`
}
