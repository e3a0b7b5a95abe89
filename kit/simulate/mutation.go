package simulate

import "slices"

// The mutations of the table scenario. Each disables one safeguard in the
// simulator's shell; the code that decides stays as it is.
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

// orderMutations disable what keeps orders and replicas within what was decided.
func orderMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoFence,
			Sentence: "Engines carry out orders that are older than one they accepted.",
			Checkers: []string{checkerFence, checkerReplicas, checkerReservation},
			Scenario: tableScenarioName + planSeparator + "silent-leader",
		},
		{
			Name:     mutationNoSync,
			Sentence: "Disks say that a write is synced when it is not.",
			Checkers: []string{checkerLog, checkerElection, checkerInForce, checkerFailure, checkerRunaway},
		},
		{
			Name:     mutationOrderUnapplied,
			Sentence: "A load order leaves before its reservation is in the zone's log.",
			Checkers: []string{checkerReservation, checkerReplicas},
		},
		{
			Name:     mutationIgnoreGrants,
			Sentence: "A zone takes the table's whole replica limit for its own share.",
			Checkers: []string{checkerReplicas, checkerGrant},
		},
		{
			Name:     mutationEarlyRelease,
			Sentence: "A zone gives back a lowered grant before it has unloaded down to it.",
			Checkers: []string{checkerReplicas, checkerGrant, checkerInvariants},
		},
	}
}

// editMutations disable what keeps edits and reads of the table in one order.
func editMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNewEditID,
			Sentence: "An operator's client makes a new edit ID for every resend.",
			Checkers: []string{checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationForgetAnswers,
			Sentence: "The table judges an edit again when it is resent.",
			Checkers: []string{checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationTakeAnyVersion,
			Sentence: "The table takes edits that were made against older versions of their rows, resends among them.",
			Checkers: []string{checkerWinner, checkerResend, checkerLinearizable},
		},
		{
			Name:     mutationStaleReads,
			Sentence: "A member answers reads of the table at once, from what it has applied.",
			Checkers: []string{checkerRead, checkerLinearizable},
		},
	}
}

// zoneMutations disable what keeps a zone's group and its leader to what they know.
func zoneMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationKeepIdentity,
			Sentence: "A machine with a new, empty disk votes under its old identity.",
			Checkers: []string{checkerElection, checkerLog, checkerRunaway},
		},
		{
			Name:     mutationIgnoreLease,
			Sentence: "A zone's leader sends orders without looking at its lease.",
			Checkers: []string{checkerLease},
		},
		{
			Name:     mutationAdoptOlder,
			Sentence: "A zone takes the rows of an older table revision for the newest ones.",
			Checkers: []string{checkerInForce},
		},
		{
			Name:     mutationIgnoreFrozen,
			Sentence: "A zone begins loads although its grant is frozen.",
			Checkers: []string{checkerReplicas},
		},
		{
			Name:     mutationInflateMemory,
			Sentence: "A zone takes its runners for having half as much memory again.",
			Checkers: []string{checkerMemory},
		},
		{
			Name:     mutationIgnoreLeaving,
			Sentence: "A zone's leader takes runners that are listed as leaving for live ones.",
			Checkers: []string{checkerLeaving},
			Scenario: tableScenarioName + planSeparator + "reclaimed",
		},
		{
			Name:     mutationSlowDeltas,
			Sentence: "A zone's leader asks for table changes only now and then.",
			Checkers: []string{checkerLate, checkerConvergence},
		},
		{
			Name:     mutationNeedGlobal,
			Sentence: "A zone's leader decides nothing while no other zone answers it.",
			Checkers: []string{checkerAlone},
			Scenario: tableScenarioName + planSeparator + "zone-cut",
		},
	}
}
