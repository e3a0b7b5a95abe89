// Package network is how the shells listen and dial: over TCP in production, and
// over connections in memory (package networktest) where a test runs a whole site
// in virtual time.
package network
