package domainnode

import "github.com/lotusferry/lotusferry/placement/versions"

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
