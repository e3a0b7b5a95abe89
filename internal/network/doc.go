// Package network abstracts listening and dialling: TCP in production, and in-memory
// connections (package networktest) in tests that run a whole site in virtual time.
package network
