// Package routing chooses the replica that runs a request.
//
// A Balancer samples a few replicas of the row and takes the one with the lowest
// score: the requests this router has on the runner, plus those of others as the
// runner's lagging load report shows them. A runner that has probably cached the
// prompt's beginning is preferred as long as its score is not much higher.
// Each daemon uses a stable subset of a row's replicas, so that a choice costs
// the same however many runners there are. Breakers, outlier ejection and a
// concurrency limit take replicas out of the choice.
//
// Budget and Backoff bound retries. All of it is pure: time and randomness come
// in as arguments, and nothing is safe for concurrent use.
package routing
