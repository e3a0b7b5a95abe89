// Package weightstore decides when a load from a weight store may begin. A store allows
// so many loads to begin in a time, and serves so many at once at full speed; beyond
// that number each takes longer. The first bound is announced, the second is learned
// from how long loads take. Copies that runners have on their own disks or in memory
// are no concern of the store.
//
// The package is pure: time comes in as an argument.
package weightstore
