// Package routing chooses the replica that runs a request.
//
// A Balancer samples a few replicas of the row, or draws among all of them with
// weights by expected cost. The cost of a replica comes from the requests and
// prompt tokens that this router has sent to its runner, and from the load of other
// routers as shown by the runner's delayed load reports. A runner that has probably
// cached a prefix of the prompt is preferred while its cost is not much higher.
// Each daemon uses a stable subset of a row's replicas, so that the cost of a choice
// does not grow with the number of runners. Circuit breakers, outlier ejection,
// cooldowns and concurrency limits exclude replicas.
//
// Budget and Backoff bound retries. Time and randomness are passed as arguments, and
// nothing in the package is safe for concurrent use.
package routing
