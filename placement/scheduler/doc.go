// Package scheduler plans which rows are loaded on which runners of one zone.
//
// Plan is a pure function from a snapshot to loads, unloads and prefetches. Its
// result is a proposal: the zone's state machine checks every limit again when a
// step is applied. Its cost is linear in the runners, the replicas, and the rows
// with demand or a minimum, and independent of the size of the table.
//
// Each zone keeps a row's minimum replicas as far as its grant allows, so that a
// partitioned zone has them too.
package scheduler
