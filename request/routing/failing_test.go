package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A runner marked as failing gets requests only if no other runner has capacity.
func TestFailingRunnerIsPickedLast(t *testing.T) {
	options := Options{MaxBatch: 4, QueueSlack: 1, UseFailing: true}
	t.Run("picked when the others are full", func(t *testing.T) {
		balancer := newBalancer(2, options)
		balancer.SetFailing("runner-0", true)
		counts := fill(balancer, 5)
		qt.Assert(t, counts["runner-0"], qt.Equals, 0)
		qt.Assert(t, fill(balancer, 1)["runner-0"], qt.Equals, 1)
	})
	t.Run("recovered runner", func(t *testing.T) {
		balancer := newBalancer(2, options)
		balancer.SetFailing("runner-0", true)
		balancer.SetFailing("runner-0", false)
		qt.Assert(t, fill(balancer, 10)["runner-0"], qt.Equals, 5)
	})
	t.Run("all runners failing", func(t *testing.T) {
		balancer := newBalancer(2, options)
		balancer.SetFailing("runner-0", true)
		balancer.SetFailing("runner-1", true)
		qt.Assert(t, len(fill(balancer, 10)), qt.Equals, 2)
	})
}
