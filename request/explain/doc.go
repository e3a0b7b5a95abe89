// Package explain reconstructs the history of a request from the logs of many processes:
// its own log lines in order, related lines, and the probable causes of its outcome.
//
// Times are by the clock of the process that wrote the line. If clocks differ, an effect
// may precede its cause; Account.Clocks has lower bounds of the differences, derived from
// the times at which documents came into force.
package explain
