package simulate

import "slices"

// The mutations of the table scenario. Each disables one safeguard in the
// simulator's shell, not in the deciding code.
const (
	mutationNoFence        = "no-fence"
	mutationNoSync         = "no-sync"
	mutationOrderUnapplied = "order-unapplied"
	mutationIgnoreGrants   = "ignore-grants"
	mutationEarlyRelease   = "early-release"
	mutationNewEditID      = "new-edit-id"
	mutationKeepIdentity   = "keep-identity"
	mutationIgnoreLease    = "ignore-lease"
	mutationAdoptOlder     = "adopt-older"
	mutationIgnoreFrozen   = "ignore-frozen"
	mutationInflateMemory  = "inflate-memory"
	mutationIgnoreLeaving  = "ignore-leaving"
	mutationSlowDeltas     = "slow-deltas"
	mutationNeedGlobal     = "need-global"
	mutationStaleReads     = "stale-reads"
	mutationForgetAnswers  = "forget-answers"
	mutationTakeAnyVersion = "take-any-version"
)

func tableMutations() []MutationInfo {
	return slices.Concat(orderMutations(), editMutations(), zoneMutations())
}

// orderMutations returns the mutations of safeguards on orders and replicas.
func orderMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoFence,
			Sentence: "Engines execute orders older than one they accepted.",
			Checkers: []string{checkerFence, checkerReplicas, checkerReservation},
			Scenario: tableScenarioName + planSeparator + "silent-leader",
		},
		{
			Name:     mutationNoSync,
			Sentence: "Disks report writes as synced that are not.",
			Checkers: []string{checkerLog, checkerElection, checkerInForce, checkerFailure, checkerRunaway},
		},
		{
			Name:     mutationOrderUnapplied,
			Sentence: "A load order is sent before its reservation is in the zone's log.",
			Checkers: []string{checkerReservation, checkerReplicas},
		},
		{
			Name:     mutationIgnoreGrants,
			Sentence: "A zone uses the table's whole replica limit as its own share.",
			Checkers: []string{checkerReplicas, checkerGrant},
		},
		{
			Name:     mutationEarlyRelease,
			Sentence: "A zone releases a lowered grant before it has unloaded down to it.",
			Checkers: []string{checkerReplicas, checkerGrant, checkerInvariants},
		},
	}
}

// editMutations returns the mutations of safeguards on the order of table edits and
// reads.
func editMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNewEditID,
			Sentence: "An operator's client uses a new edit ID for every resend.",
			Checkers: []string{checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationForgetAnswers,
			Sentence: "The table evaluates a resent edit again.",
			Checkers: []string{checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationTakeAnyVersion,
			Sentence: "The table accepts edits based on older versions of their rows, including resends.",
			Checkers: []string{checkerWinner, checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationStaleReads,
			Sentence: "A member serves table reads at once from its applied state.",
			Checkers: []string{checkerRead, checkerLinearizable},
		},
	}
}

// zoneMutations returns the mutations of safeguards in a zone's group and its
// leader.
func zoneMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationKeepIdentity,
			Sentence: "A machine with a new, empty disk votes under its old identity.",
			Checkers: []string{checkerElection, checkerLog, checkerRunaway},
		},
		{
			Name:     mutationIgnoreLease,
			Sentence: "A zone's leader sends orders without checking its lease.",
			Checkers: []string{checkerLease},
		},
		{
			Name:     mutationAdoptOlder,
			Sentence: "A zone adopts the rows of an older table revision as the newest ones.",
			Checkers: []string{checkerInForce},
		},
		{
			Name:     mutationIgnoreFrozen,
			Sentence: "A zone starts loads although its grant is frozen.",
			Checkers: []string{checkerReplicas},
		},
		{
			Name:     mutationInflateMemory,
			Sentence: "A zone overestimates the memory of its runners by half.",
			Checkers: []string{checkerMemory},
		},
		{
			Name:     mutationIgnoreLeaving,
			Sentence: "A zone's leader treats runners listed as leaving as live.",
			Checkers: []string{checkerLeaving},
			Scenario: tableScenarioName + planSeparator + "reclaimed",
		},
		{
			Name:     mutationSlowDeltas,
			Sentence: "A zone's leader rarely requests table changes.",
			Checkers: []string{checkerLate, checkerConvergence},
		},
		{
			Name:     mutationNeedGlobal,
			Sentence: "A zone's leader makes no decisions while no other zone answers it.",
			Checkers: []string{checkerAlone},
			Scenario: tableScenarioName + planSeparator + "zone-cut",
		},
	}
}
