package standby

import "time"

// BrokenTTL is how long a runner counts as doubtful after a connection to it broke.
const BrokenTTL = 10 * time.Second

const (
	// minRisk is the assumed probability that a stream is lost with a runner of which nothing bad is
	// known.
	minRisk = 0.006
	// answerWeight is the worth of an answer token that is lost, in prompt tokens read: the caller
	// has lost the answer, while a prompt can be read again.
	answerWeight = 10
	// resumableWeight is the same for streams that another runner may resume. They lose time only.
	resumableWeight = answerWeight / 2
	// calmRisk is the highest risk at a runner that shows no sign of doubt, each of which adds 0.05 or
	// more, while few streams are lost.
	calmRisk = 0.04
	// maxCalmPromptBytes is the largest memory of a prompt that is copied up to calmRisk. Larger copies
	// take memory from the requests of their hosts, which costs more than the rare loss that they avert.
	maxCalmPromptBytes = 128e6
	// transferCost is the cost of a transferred token, in prompt tokens read.
	transferCost = 0.01
)

// The risk that each sign of a doubtful runner adds. They are estimates: a runner that says that it
// ends loses most of the streams that outlast it, a runner with one of the other signs is lost about
// ten times as often as any.
const (
	failingRisk = 0.1
	brokenRisk  = 0.05
	coldRisk    = 0.05
	leavingRisk = 0.5
)

// Size is the size of a stream in tokens.
type Size struct{ Prompt, Answer int64 }

// IsKnown reports whether the size is known.
func (s Size) IsKnown() bool { return s.Prompt >= 0 && s.Answer >= 0 && s.Prompt+s.Answer > 0 }

// Tokens returns the tokens that a complete copy has.
func (s Size) Tokens() int64 { return s.Prompt + s.Answer }

// Signs are the observations that make a runner doubtful.
type Signs struct {
	// IsFailing is set if the leader sees the runner fail many requests.
	IsFailing bool
	// IsBroken is set if a connection to the runner broke, or it was silent, within BrokenTTL.
	IsBroken bool
	// IsCold is set while the runner warms up.
	IsCold bool
	// IsLeaving is set once the runner has announced its end.
	IsLeaving bool
}

// Risk returns the probability that a stream is lost with its runner. lossRate is the share of the
// service's streams that were lost lately.
func Risk(signs Signs, lossRate float64) float64 {
	kept := 1 - max(minRisk, min(lossRate, 1))
	for _, each := range []struct {
		isSet bool
		risk  float64
	}{{signs.IsFailing, failingRisk}, {signs.IsBroken, brokenRisk}, {signs.IsCold, coldRisk}, {signs.IsLeaving, leavingRisk}} {
		if each.isSet {
			kept *= 1 - each.risk
		}
	}
	return 1 - kept
}

// IsWorthCopying reports whether the expected loss of the stream exceeds the cost of its copy. tokenBytes
// is the memory of a token.
func IsWorthCopying(risk float64, size Size, tokenBytes float64, isResumable bool) bool {
	if risk <= calmRisk && float64(size.Prompt)*tokenBytes > maxCalmPromptBytes {
		return false
	}
	weight := float64(answerWeight)
	if isResumable {
		weight = resumableWeight
	}
	return risk*(float64(size.Prompt)+weight*float64(size.Answer)) > transferCost*float64(size.Tokens())
}
