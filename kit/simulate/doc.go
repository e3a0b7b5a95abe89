// Package simulate runs whole lotusferry sites in one process and in virtual time,
// with injected faults, deterministically from one seed.
//
// The deciding code (raft, table, zone, controller, router) is that of the daemon,
// and the engines are those of package emulator. The simulator replaces only the
// surrounding shells: clocks, sockets, disks and process lifecycles. The same seed
// gives the same trace byte for byte. Checkers verify the invariants from records of
// their own.
//
// # Adding a scenario
//
// A scenario is a value of type scenario in files named after it. It has a
// ScenarioInfo (its name, the failures in standard terms and the names of its
// checkers), a function that runs one seed, and the mutations that its checkers must
// detect. Register it with
//
//	var _ = register(tableScenario())
//
// Its run function calls newSimulatedSite for a Scheduler, a Trace, a Network and a
// Judge, draws all randomness from the seed of the seedPlan, passes the Judge to its
// checkers, and returns the site's seedOutcome, whose Violation contains what is
// needed to shrink and replay it. An emulatedEngine drives each engine. Run, Shrink,
// Replay and the command line then support the scenario and its mutations.
package simulate
