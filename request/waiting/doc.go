// Package waiting says what it is worth to let a request wait: who brings it, how urgent it
// is, how long it can wait and how much work it is. The order of those that wait, refusals, the
// needs of the planner and the order in which streams are resumed go by the same Ticket. It is
// pure.
package waiting
