package domainnode

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/versions"
)

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

// unstoredVersions returns the software versions of runners that are not in the log yet. The caller holds the mutex.
func (l *leadership) unstoredVersions() (unstored []versions.Key) {
	l.member.group.View(func() {
		for _, key := range l.versions.Keys() {
			if !l.member.machine.StoresVersion(key) {
				unstored = append(unstored, key)
			}
		}
	})
	return unstored
}
