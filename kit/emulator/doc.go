// Package emulator stands in for the back ends: a model engine, the weight store
// and the machine list, each as a pure core in virtual time with an HTTP server
// around it.
//
// The cores (Engine, Store, MachineList) have no goroutine, clock or socket: time
// is an argument and randomness a seeded source, so a simulator drives the same
// code as the servers. A server drives its core from a timer that is armed only
// while the core has something to do, so that an idle engine has no goroutine
// and thousands share a process.
//
// The engine models what decides about scheduling: continuous batching, prefix
// and checkpoint caches of limited size, a queue with priorities, lagging
// reports, late and lost cache events, fenced orders, and faults that can be
// switched at run time. Its answers are a function of row, prompt and index
// (ExpectedToken), so that a checker can tell a wrong, crossed, lost or repeated
// token. It keeps records of what it really did, apart from what it reports.
package emulator
