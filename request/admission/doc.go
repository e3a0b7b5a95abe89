// Package admission implements the bounded queue of one row, the estimate of when a
// request that joins it would start, and token limits.
//
// Higher priority classes are served first, but a class that was passed over
// Options.MaxPassedOver times gets one turn. Within a class, callers share turns by
// weight: callers that are ahead of their share wait, and the others are served by
// earliest deadline. A full queue displaces its newest batch request for a live one.
//
// The estimate is based on the rate at which requests of the row have started while
// others waited, less the rate of later arrivals of higher priority.
//
// Queue and Estimator take the time as an argument and are not safe for concurrent
// use.
package admission
