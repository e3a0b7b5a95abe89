package simulate

import "slices"

// The mutations of the requests scenario. Each disables one safeguard in the
// simulator's shell or in a router's settings; the code that decides stays as it is.
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

// executionMutations disable what keeps executions and answers apart.
func executionMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoClaim,
			Sentence: "A router takes a key for its own without asking the key's home zone.",
			Checkers: []string{checkerOnce},
		},
		{
			Name:     mutationAnyHome,
			Sentence: "Each zone takes itself for the home of every key.",
			// A resend that meets a second claim on its key is seen before the end.
			Checkers: []string{checkerOnce, checkerAtEnd, checkerKept},
		},
		{
			Name:     mutationNoIDCheck,
			Sentence: "A router does not look whose token an engine sent.",
			Checkers: []string{checkerAnswer},
		},
		{
			Name:     mutationNotRunAlways,
			Sentence: "A router takes every failed attempt for one that did not run.",
			Checkers: []string{checkerNotRun, checkerOnce},
		},
		{
			Name:     mutationResumeStart,
			Sentence: "A broken stream is resumed elsewhere from its first token.",
			Checkers: []string{checkerAnswer},
		},
	}
}

// endingMutations disable what makes requests end as they should.
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
			Sentence: "Routers are not told that a runner leaves.",
			Checkers: []string{checkerLeaving},
		},
		{
			Name:     mutationHoldRefusal,
			Sentence: "A router tells its callers of a refusal only at their deadline.",
			Checkers: []string{checkerAtOnce},
		},
		{
			Name:     mutationNoStall,
			Sentence: "A router waits for a silent engine until the request's deadline.",
			Checkers: []string{checkerStall},
		},
		{
			Name:     mutationWaitSpent,
			Sentence: "A router takes a silent engine that it asked for one that makes tokens.",
			Checkers: []string{checkerStall},
		},
		{
			Name:     mutationLoseRefusal,
			Sentence: "A router forgets to tell its callers of a refusal.",
			Checkers: []string{checkerTerminal},
		},
		{
			Name:     mutationWaitOffered,
			Sentence: "A router queues the requests that other zones offer it.",
			Checkers: []string{checkerOffer},
		},
	}
}

// claimMutations disable what ends the claims of routers that died.
func claimMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationNoResolution,
			Sentence: "A zone's leader does not end the claims of routers that died.",
			Checkers: []string{checkerClaims},
		},
		{
			Name:     mutationResolveBlind,
			Sentence: "A zone's leader frees the keys of silent routers without asking the engine.",
			Checkers: []string{checkerOnce, checkerNotRun},
		},
	}
}

// answerMutations disable what lets a resend have the answer.
func answerMutations() []MutationInfo {
	return []MutationInfo{
		{
			Name:     mutationForgetDisk,
			Sentence: "A router that restarts does not look for the answers on its disk.",
			Checkers: []string{checkerKept},
		},
		{
			Name:     mutationNoAsk,
			Sentence: "A router takes a request for in progress without asking the router that executes it.",
			Checkers: []string{checkerAtEnd},
		},
	}
}
