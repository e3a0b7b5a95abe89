// Package pace models how a runner spends its time: reading prompts, and generating the events of
// the streams that it runs. It defines when a runner counts as slow or overloaded, for routers as
// well as for the planner of loads. The package has no clock, no goroutines and does no I/O.
package pace
