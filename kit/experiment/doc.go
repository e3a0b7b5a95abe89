// Package experiment replays days of requests to a site in virtual time and measures
// replica placement: cold starts, live requests answered in time, idle accelerator
// hours and loads. It compares the scheduler with baseline policies.
//
// Decisions are made by production code: scheduler.Plan on the state machines of
// package zone, with grants from package table. Slow operations are modelled: engines
// load from the cache tiers of package emulator and share its weight store. Consensus
// is not run; the delays of consensus, reports and demand are constants.
//
// A run is a function of its options and seed, and uses a single goroutine. Runs that
// differ in seed or policy may execute concurrently.
package experiment
