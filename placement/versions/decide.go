package versions

// Facts are what is known of a stream that a client takes up.
type Facts struct {
	// IsNamed is set if the client names the attempt that brought the first event.
	IsNamed bool
	// IsCertain is set if the router knows that runners of one version alone were there while the stream can have begun.
	// OnlyVersion is that version; empty if the runners tell none.
	IsCertain   bool
	OnlyVersion string
	// IsFound is set if a record of the stream is known, which says that Version began it.
	IsFound bool
	Version string
	// IsAsked is set if the registrars were asked for a record, and Silent is how many of them did not answer.
	IsAsked bool
	Silent  int
	// IsForeign is set if the request may not be served by the service that began the stream any more.
	IsForeign bool
	// IsServed is set if a runner of Version may get the request.
	IsServed bool
	// HasLeader is set if the router has heard the leader lately, and IsComplete if the leader had heard of all runners when it told of
	// them last. Without both a runner that the router does not know may be there.
	HasLeader  bool
	IsComplete bool
}

// Verdict is how a stream goes on.
type Verdict uint8

// Verdicts.
const (
	// VerdictAny means that any runner may take the stream, as none tells a version.
	VerdictAny Verdict = iota + 1
	// VerdictOnly means that runners of the only version there is may. Others that come before one is found may not.
	VerdictOnly
	// VerdictVersion means that runners of the version that began it may.
	VerdictVersion
	// VerdictAsk means that the registrars must be asked.
	VerdictAsk
	// VerdictUnknown means that the stream cannot go on, as nobody knows its version.
	VerdictUnknown
	// VerdictGone means that it cannot go on, as no runner of its version is left for it.
	VerdictGone
	// VerdictLater means that the router cannot know yet whether it can go on.
	VerdictLater
)

// String returns the verdict as shown in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"none", "any", "only", "version", "ask", "unknown", "gone", "later"}[v]
}

// Decide decides how a stream goes on. It never guesses a version: the client can begin the stream anew. Nor does it take what the
// router does not know yet for what is not there.
func Decide(facts Facts) Verdict {
	switch {
	case facts.IsFound && facts.IsForeign:
		return VerdictGone
	case facts.IsFound && (facts.IsServed || facts.HasLeader && !facts.IsComplete):
		return VerdictVersion
	case facts.IsFound && !facts.HasLeader:
		return VerdictLater
	case facts.IsFound:
		return VerdictGone
	case facts.IsCertain && facts.OnlyVersion != "":
		return VerdictOnly
	case facts.IsCertain:
		return VerdictAny
	case facts.IsNamed && !facts.IsAsked:
		return VerdictAsk
	case !facts.HasLeader || facts.Silent >= replicas:
		return VerdictLater
	}
	return VerdictUnknown
}
