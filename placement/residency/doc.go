// Package residency decides which runner loads and unloads which model or adapter.
//
// The Planner belongs to the leader, the only node that may send orders. It knows what each runner
// holds from the runner's heartbeats and reports and from the orders that it sent. An order carries
// the number of orders that the runner is expected to have taken. Of two orders sent with the same
// number only one is ever executed, even if the answer to the first was lost and it is executed
// seconds later. What an order with an unknown outcome may have loaded counts as held until the
// runner reports otherwise.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
// Orders are return values.
package residency
