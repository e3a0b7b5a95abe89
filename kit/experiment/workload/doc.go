// Package workload generates synthetic, seeded request workloads and reads and
// writes request traces.
//
// Generated workloads are open loop: arrival times do not depend on service
// times. All times are relative to the start of the workload, which is midnight
// on a Monday in the site's local time.
package workload
