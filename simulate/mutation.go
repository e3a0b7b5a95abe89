package simulate

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
)

func tableMutations() []MutationInfo {
	sentences := []MutationInfo{
		{Name: mutationNoFence, Sentence: "Engines carry out orders that are older than one they accepted."},
		{Name: mutationNoSync, Sentence: "Disks say that a write is synced when it is not."},
		{Name: mutationOrderUnapplied, Sentence: "A load order leaves before its reservation is in the zone's log."},
		{Name: mutationIgnoreGrants, Sentence: "A zone takes the table's whole replica limit for its own share."},
		{Name: mutationEarlyRelease, Sentence: "A zone gives back a lowered grant before it has unloaded down to it."},
		{Name: mutationNewEditID, Sentence: "An operator's client makes a new edit ID for every resend."},
		{Name: mutationKeepIdentity, Sentence: "A machine with a new, empty disk votes under its old identity."},
		{Name: mutationIgnoreLease, Sentence: "A zone's leader sends orders without looking at its lease."},
		{Name: mutationAdoptOlder, Sentence: "A zone takes the rows of an older table revision for the newest ones."},
	}
	for i := range sentences {
		sentences[i].Scenario = tableScenarioName
	}
	return sentences
}
