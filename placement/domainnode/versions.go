package domainnode

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// certainContact is how long after its last known watch a router may still believe that one version alone serves: its relay may have
// answered it since, and tells of its watches late.
const certainContact = versions.CertainTime + domainapi.MaxHold + domainapi.MirrorTTL

// observeVersion records that a runner has a software version. One that is new beside others is held back until routers know of it. The
// caller holds the mutex.
func (l *leadership) observeVersion(now time.Time, key versions.Key) {
	isNew := key.Version != "" && !l.versions.Has(key)
	l.versions.Observe(now, key)
	if isNew && l.versions.IsMixed(key.Service) {
		// Replies with a later revision than the current one tell of it.
		l.introductions.Begin(now, key, l.views.Revision()+1)
		level.Info(l.logger).Log("msg", "A new software version is held back until routers know of it.", "service", key.Service, "version", key.Version)
	}
}

// endIntroductions releases the versions that no router can miss any more. The caller holds the mutex.
func (l *leadership) endIntroductions(at time.Time) {
	awaited := l.introductions.Awaited()
	if awaited == 0 {
		return
	}
	known := uint64(math.MaxUint64)
	for _, contact := range l.routers {
		if at.Sub(contact.at) < certainContact {
			known = min(known, contact.revision)
		}
	}
	for _, each := range l.introductions.End(at, known) {
		level.Info(l.logger).Log("msg", "A new software version may be used.", "service", each.Key.Service, "version", each.Key.Version,
			"held_for", each.HeldFor, "known_to_all", each.IsKnownToAll)
	}
	if l.introductions.Awaited() > 0 {
		l.relays.await(at, awaited)
	}
}

// usedVersion returns the one version of a service that is not held back; empty if there are several, or none, or the leadership has
// ended.
func (l *leadership) usedVersion(service string) (used string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, version := range l.versions.Of(service) {
		switch {
		case l.introductions.IsPending(versions.Key{Service: service, Version: version}):
		case used != "":
			return ""
		default:
			used = version
		}
	}
	if !l.isValid() {
		return ""
	}
	return used
}

// unlistedVersions returns the software versions whose runners routers must not know yet: they are held back, or not in the log, so that
// the next leader may not know them. The caller holds the mutex.
func (l *leadership) unlistedVersions() (unlisted []versions.Key) {
	l.member.group.View(func() {
		for _, key := range l.versions.Keys() {
			if l.introductions.IsPending(key) || !l.member.machine.StoresVersion(key) {
				unlisted = append(unlisted, key)
			}
		}
	})
	return unlisted
}
