package domain

import (
	"slices"

	"github.com/lotusferry/lotusferry/placement/versions"
)

// maxVersions bounds the software versions that are remembered.
const maxVersions = 1024

// addVersion records that a runner of a service has a software version.
func (m *Machine) addVersion(key versions.Key) {
	at, isKnown := slices.BinarySearchFunc(m.versions, key, versions.CompareKeys)
	if isKnown || key.Version == "" || len(m.versions) >= maxVersions {
		return
	}
	m.versions = slices.Insert(m.versions, at, key)
}

// retireVersion forgets a software version. Runners that are registered with it may come back to it.
func (m *Machine) retireVersion(key versions.Key) {
	if at, isKnown := slices.BinarySearchFunc(m.versions, key, versions.CompareKeys); isKnown {
		m.versions = slices.Delete(m.versions, at, at+1)
	}
}

// StoresVersion reports whether a new leader will know of a software version, or cannot as too many are stored.
func (m *Machine) StoresVersion(key versions.Key) bool {
	_, isKnown := slices.BinarySearchFunc(m.versions, key, versions.CompareKeys)
	return isKnown || key.Version == "" || len(m.versions) >= maxVersions
}

// Versions returns the software versions that runners of each service had lately, for a new leader.
func (m *Machine) Versions() []versions.Key { return slices.Clone(m.versions) }
