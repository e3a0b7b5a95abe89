// Package simulate runs whole sites of lotusferry in one process and in virtual
// time, with faults, from one seed.
//
// The code that decides (raft, table, zone, controller, router) is the daemon's
// own, and the engines are those of package emulator. The simulator replaces only
// what the shells own: clocks, sockets, disks and the life of processes.
// Everything that happens in a seed follows from the seed, so the same seed gives
// the same trace byte for byte. The invariants are judged by checkers that keep
// records of their own.
//
// # Adding a scenario
//
// A scenario is a value of type scenario in files that begin with its name. It
// has a ScenarioInfo (its name, the failures in standard terms, the names of its
// checkers), a function that runs one seed and the mutations that its checkers
// must catch. Add it with
//
//	var _ = register(tableScenario())
//
// Its run function begins with newSimulatedSite, which gives it a Scheduler, a
// Trace, a Network and a Judge, draws all randomness from the seed of the seedPlan,
// hands its own records to the Judge, and returns the site's seedOutcome, whose
// Violation carries what is needed to shrink and replay it. An emulatedEngine
// drives each engine. Run, Shrink, Replay and the command line then know the
// scenario and its mutations.
package simulate
