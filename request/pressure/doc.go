// Package pressure detects whether a router's machine is overloaded.
//
// On an overloaded machine the timers of the process fire late, whether the cause is its own work, a CPU
// quota or another process, and every request is delayed as much. That does not tell how many connections
// are too many, so a router under pressure closes a few at a time and measures again.
//
// A Gauge takes time as an argument. It is not safe for concurrent use.
package pressure
