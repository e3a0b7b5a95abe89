// Package emulator emulates the back ends: a model engine, the weight store and the
// machine list. Each is a deterministic core in virtual time with an HTTP server around
// it.
//
// The cores (Engine, Store, MachineList) use no goroutine, clock or socket: time is an
// argument and randomness comes from a seeded source, so a simulator can drive the same
// code as the servers. A server drives its core by a timer that is armed only while an
// event is scheduled. An idle engine therefore has no goroutine, and thousands can share
// a process.
//
// The engine models what affects scheduling: continuous batching, prefix and checkpoint
// caches of limited size, a priority queue, lagging reports, delayed and lost cache
// events, fenced orders, and faults that can be injected at run time. Its answers are a
// function of row, prompt and token index (ExpectedToken), so that a checker can detect
// wrong, misdirected, lost or repeated tokens. It records its actual executions and
// state changes independently of its reports.
package emulator
