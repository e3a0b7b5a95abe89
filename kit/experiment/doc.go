// Package experiment replays days of a site's calls in virtual time and measures
// how well replicas are placed: cold starts, live calls in time, idle accelerator
// hours and loads, for the scheduler and for baselines in the same harness.
//
// What decides is the real code: scheduler.Plan on the state machines of package
// zone, with the grants of package table. What is slow is modelled: engines load
// from the tiers that package emulator has, and share its weight store. Consensus
// is not run; its delays, and those of reports and demand, are constants.
//
// A run is a function of its options and of the seed; it uses one goroutine, and
// runs with other seeds or policies go side by side.
package experiment
