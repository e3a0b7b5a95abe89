// Package scheduler plans which rows are loaded on which runners of one zone.
//
// Plan is pure: it looks at a snapshot and says what to load, unload and
// prefetch. It decides nothing for good, for the zone's state machine checks
// every limit again when a step is applied. The work of a plan is proportional
// to the runners, the replicas, and the rows with demand or a minimum, not to
// the rows of the table.
//
// A row's minimum replicas are kept in each zone, as far as its grant there
// allows, so that a zone that is cut off has them too.
package scheduler
