package explain

import (
	"slices"
	"strings"
)

// isAboutContent reports whether a line is about what the request asks for: what the leader holds of
// it, or a run under another ID that lost its runner. Both may be from long before.
func (a *Account) isAboutContent(line Line, content string) bool {
	if content == "" || line.Get("content") != content || line.Time.After(a.ended()) {
		return false
	}
	switch line.Message {
	case messageSuspect, messageRefused:
		return true
	case messageAttempt:
		return line.Get("request") != a.Request && isBroken(line)
	}
	return false
}

// isBroken reports whether an attempt ended with its connection.
func isBroken(attempt Line) bool {
	outcome := attempt.Get("outcome")
	wasSent := !strings.Contains(attempt.Get("err"), "the request was not sent")
	return outcome == "cut_short" || outcome == "send_failed" && wasSent
}

// findContent says why a request was not sent that may crash runners.
func (a *Account) findContent() {
	if a.Outcome != "crashes_runners" && a.Outcome != "trial_later" {
		return
	}
	var runners []string
	for _, line := range slices.Concat(a.Beliefs, a.Events) {
		if runner := line.Get("runner"); line.Message == messageAttempt && isBroken(line) && !slices.Contains(runners, runner) {
			runners = append(runners, runner)
		}
	}
	a.note("What it asks for was under way at %d runners when their connections broke: %v.", len(runners), runners)
	for _, line := range slices.Backward(a.Beliefs) {
		if line.Message == messageRefused {
			a.note("It is refused since %s for %s, as the runner of its trial was lost or the trial showed nothing.",
				a.since(line.Time), line.Get("refused_for"))
			return
		}
	}
}
