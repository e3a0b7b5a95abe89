package relay

import "testing"

// Guards against a stream that may run only once and is taken from a silent runner, which goes on, for a standby that does not
// continue it.
func TestSoundRunnerKeepsCopiedStream(t *testing.T) {
	for _, around := range allSurroundings() {
		if around.needsStandby() && !around.mayRun {
			checkSoundRunner(t, "/stream-once/x", around)
		}
	}
}

// Guards against the same where the standby may have begun with the stream before it failed.
func TestSoundRunnerKeepsCopiedStreamWhoseStandbyFails(t *testing.T) {
	for _, around := range allSurroundings() {
		if around.needsStandby() && around.mayRun {
			checkSoundRunner(t, "/stream-once/x", around)
		}
	}
}
