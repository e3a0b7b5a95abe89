// Package weightstore limits the rate and the concurrency of loads from a weight store.
// The rate at which loads may start is configured. The number of concurrent loads that
// the store serves at full speed is estimated from the durations of loads. Loads from
// copies on a runner's disk or in its memory are not counted.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package weightstore
