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

// isConnectionFailure reports whether an attempt failed with its connection after the
// request was sent.
func isConnectionFailure(attempt Line) bool {
	outcome := attempt.Get("outcome")
	wasSent := !strings.Contains(attempt.Get("err"), "the request was not sent")
	return outcome == "cut_short" || outcome == "send_failed" && wasSent
}

// addContentFindings explains the refusal of a request that may crash runners.
func (a *Account) addContentFindings() {
	if a.Outcome != "crashes_runners" && a.Outcome != "trial_later" {
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
