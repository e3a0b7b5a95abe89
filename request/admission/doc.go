// Package admission is the bounded queue of one row and the estimate of when a
// request that joins it would start.
//
// Order: a higher priority class goes first, but a class that was passed over
// Options.GuardAfter times gets one turn. Within a class, callers share turns by
// weight: a caller that had more than its share so far waits, and among the
// others the earliest deadline goes first. A full queue sheds its newest batch
// request for a live one.
//
// The estimate follows the pace at which the row's requests have started while
// others waited, less the later arrivals of higher priority.
//
// Queue and Estimator are pure: time comes in as an argument, and they are not
// safe for concurrent use.
package admission
