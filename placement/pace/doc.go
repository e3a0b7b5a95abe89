// Package pace models how the time of a runner is spent: reading prompts, and making events of
// the streams that it runs. It is the one place that says what "slow" and "full" mean; routers
// choose by it and the planner of loads places by it. It is pure: no clock, no goroutine, no
// socket.
package pace
