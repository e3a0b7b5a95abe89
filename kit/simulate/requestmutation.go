package simulate

import "slices"

// The mutations of the requests scenario. Each disables one safeguard in the
// simulator's shell or in a router's settings, not in the deciding code.
const (
	mutationNoClaim      = "no-claim"
	mutationAnyHome      = "any-home"
	mutationNoIDCheck    = "no-id-check"
	mutationNotRunAlways = "not-run-always"
	mutationResumeStart  = "resume-start"
	mutationNoBudget     = "no-retry-budget"
	mutationNoDrain      = "no-drain"
	mutationKeepLeaving  = "keep-leaving"
	mutationHoldRefusal  = "hold-refusal"
	mutationNoStall      = "no-stall-detection"
	mutationWaitSpent    = "wait-without-retries"
	mutationLoseRefusal  = "lose-refusal"
	mutationWaitOffered  = "wait-offered"
	mutationNoResolution = "no-resolution"
	mutationResolveBlind = "resolve-blindly"
	mutationForgetDisk   = "forget-disk"
	mutationNoAsk        = "no-ask"
)

func requestMutations() []MutationInfo {
	return slices.Concat(executionMutations(), endingMutations(), claimMutations(), answerMutations())
}

// executionMutations returns the mutations of safeguards on executions and answers.
func executionMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoClaim,
			Sentence: "A router claims a key without asking the key's home zone.",
			Checkers: []string{checkerOnce},
		},
		{
			Name:     mutationAnyHome,
			Sentence: "Each zone treats itself as the home of every key.",
			// A resend that meets a second claim on its key is detected before the
			// end.
			Checkers: []string{checkerOnce, checkerAtEnd, checkerKept},
		},
		{
			Name:     mutationNoIDCheck,
			Sentence: "A router does not check the request ID of an engine's token.",
			Checkers: []string{checkerAnswer},
		},
		{
			Name:     mutationNotRunAlways,
			Sentence: "A router treats every failed attempt as not run.",
			Checkers: []string{checkerNotRun, checkerOnce},
		},
		{
			Name:     mutationResumeStart,
			Sentence: "A broken stream is resumed elsewhere from its first token.",
			Checkers: []string{checkerAnswer},
		},
	}
}

// endingMutations returns the mutations of safeguards on the endings of requests.
func endingMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoBudget,
			Sentence: "The retries of a row are not bounded by a budget.",
			Checkers: []string{checkerBudget},
		},
		{
			Name:     mutationNoDrain,
			Sentence: "A planned stop of a router ends the process at once.",
			Checkers: []string{checkerStop},
		},
		{
			Name:     mutationKeepLeaving,
			Sentence: "Routers are not informed that a runner is leaving.",
			Checkers: []string{checkerLeaving},
		},
		{
			Name:     mutationHoldRefusal,
			Sentence: "A router sends a refusal only at the caller's deadline.",
			Checkers: []string{checkerAtOnce},
		},
		{
			Name:     mutationNoStall,
			Sentence: "A router waits for an unresponsive engine until the request's deadline.",
			Checkers: []string{checkerStall},
		},
		{
			Name:     mutationWaitSpent,
			Sentence: "A router treats an unresponsive engine that it queried as making progress.",
			Checkers: []string{checkerStall},
		},
		{
			Name:     mutationLoseRefusal,
			Sentence: "A router does not send refusals to its callers.",
			Checkers: []string{checkerTerminal},
		},
		{
			Name:     mutationWaitOffered,
			Sentence: "A router queues requests offered by other zones.",
			Checkers: []string{checkerOffer},
		},
	}
}

// claimMutations returns the mutations of the resolution of dead routers' claims.
func claimMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoResolution,
			Sentence: "A zone's leader does not resolve the claims of dead routers.",
			Checkers: []string{checkerClaims},
		},
		{
			Name:     mutationResolveBlind,
			Sentence: "A zone's leader releases the keys of unresponsive routers without querying the engine.",
			Checkers: []string{checkerOnce, checkerNotRun},
		},
	}
}

// answerMutations returns the mutations of answers to resent requests.
func answerMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationForgetDisk,
			Sentence: "A restarted router ignores the answers on its disk.",
			Checkers: []string{checkerKept},
		},
		{
			Name:     mutationNoAsk,
			Sentence: "A router treats a request as in progress without asking the router that executes it.",
			Checkers: []string{checkerAtEnd},
		},
	}
}
