// Package paths decides how a router reaches its runners: directly, or through a peer router while the direct way
// is lost.
//
// The direct way to a zone is lost when package zonewatch says so, that to a single runner when connects to it fail
// while others fail, too. Then peers are asked to connect to runners there, and only what a peer has reached just now is
// sent through peers: a zone or a runner that nobody reaches stays lost. Connects show when the direct way is back.
//
// The package does no I/O and reads no clock: time and randomness are arguments, and the caller makes the connects
// that it is given as a Probe. Nothing in it is safe for concurrent use.
package paths
