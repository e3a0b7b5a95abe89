// Package workload generates the calls of a site over days, from a seed, and
// reads and writes them as recorded traces.
//
// A generated workload is open loop: the calls do not depend on how they are
// served. All times are since the start of the workload, which is a Monday at
// midnight of the site's own time.
package workload
