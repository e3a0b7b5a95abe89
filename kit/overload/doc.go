// Package overload simulates a zone under overload in virtual time: several routers
// share the engines of the zone and observe engine load and caches with a delay.
//
// The simulation runs the production code of router.Core, with admission and
// routing, on emulator.Engine. Each scenario runs under every policy with the same
// arrivals: the production router, the production router with simpler routing, and
// a FIFO queue that rejects nothing before its deadline. All metrics are measured
// at the callers, and a checker verifies that each request gets exactly one
// terminal answer in time.
//
// A run is deterministic in its options and seed. It uses one goroutine; several
// runs execute in parallel.
package overload
