package explain

import (
	"slices"
	"strings"
)

// isAboutContent reports whether a line is about the content of the request: a decision of
// the leader, or an attempt of another request whose connection failed. There is no limit
// on the age of the line.
func (a *Account) isAboutContent(line Line, content string) bool {
	if content == "" || line.Get("content") != content || line.Time.After(a.ended()) {
		return false
	}
	switch line.Message {
	case messageTrialOnly, messageRefused:
		return true
	case messageAttempt:
		return line.Get("request") != a.Request && isConnectionFailure(line)
	}
	return false
}

// isAboutPart reports whether a line is a decision of the leader on the part of a prompt for which the request was refused.
func (a *Account) isAboutPart(line Line, part string) bool {
	if part == "" || line.Get("part") != part || line.Time.After(a.ended()) {
		return false
	}
	return line.Message == messagePartTrialOnly || line.Message == messagePartRefused
}

// isConnectionFailure reports whether an attempt failed with its connection after the
// request was sent.
func isConnectionFailure(attempt Line) bool {
	outcome := attempt.Get("outcome")
	wasSent := !strings.Contains(attempt.Get("err"), "the request was not sent")
	return outcome == "cut_short" || outcome == "send_failed" && wasSent
}

// addContentFindings explains the refusal of a request that may crash runners.
func (a *Account) addContentFindings() {
	switch a.Outcome {
	case "crashes_runners", "trial_later":
	case "part_crashes_runners":
		a.addPartFindings()
		return
	default:
		return
	}
	var runners []string
	for _, line := range slices.Concat(a.Beliefs, a.Events) {
		if runner := line.Get("runner"); line.Message == messageAttempt && isConnectionFailure(line) && !slices.Contains(runners, runner) {
			runners = append(runners, runner)
		}
	}
	a.addFinding("The same content was running on %d runners when their connections broke: %v.", len(runners), runners)
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message == messageRefused {
			a.addFinding("It has been refused since %s for %s, because the runner of its trial was lost or the trial was inconclusive.",
				a.relativeTime(line.Time), line.Get("refused_for"))
			return
		}
	}
}

// addPartFindings explains the refusal of a request with a part of its prompt that crashes runners.
func (a *Account) addPartFindings() {
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message == messagePartRefused {
			a.addFinding("Part %s of its prompt was in flight on %s runners when their connections broke, whatever else the requests held.",
				line.Get("part"), line.Get("losses"))
			a.addFinding("Requests with that part have been refused since %s for %s, because the runners of their trials were lost.",
				a.relativeTime(line.Time), line.Get("refused_for"))
			return
		}
	}
}
