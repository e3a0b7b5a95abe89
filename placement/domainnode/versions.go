package domainnode

import "time"

const (
	// minVersionRetention is the least time for which a software version is remembered after its last runner, and
	// versionMargin what that time is longer than the longest timeout: streams at runners that are silent go on for a while.
	minVersionRetention = 30 * time.Second
	versionMargin       = 10 * time.Second
)

// versionRetention returns how long a service counts as mixed after the last runner of another version was heard: as long as a
// stream that began there may be taken up. The caller holds the mutex.
func (l *leadership) versionRetention() time.Duration {
	return max(minVersionRetention, l.longestTimeout+versionMargin)
}
