// Package residency decides which runner loads and unloads which model or adapter.
//
// The Planner belongs to the one leader that may send orders. It knows what each
// runner holds from the runner's own words (heartbeats and reports) and from the
// orders that it sent. An order carries the number of orders that the runner is
// expected to have taken, so that of two orders sent with the same number only one
// is ever executed, even if the answer to the first was lost and it is executed
// seconds later. What an order whose outcome is unknown may have loaded stays
// counted until the runner says otherwise.
//
// The package is pure: time comes in as an argument, and orders go out as values.
package residency
