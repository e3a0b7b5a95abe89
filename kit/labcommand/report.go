package labcommand

import (
	"fmt"
	"io"

	"github.com/lotusferry/lotusferry/kit/lab"
)

func printTotals(out io.Writer, totals lab.Totals) {
	fmt.Fprintf(out, "requests %d, answered %d, refused %d, lost %d, cut by a dead router %d, live in time %.1f%%\n",
		totals.Requests, totals.Answered, totals.Refused, totals.Lost, totals.Cut, 100*totals.LiveInTime)
	fmt.Fprintf(out, "cold start p50 %.2f s p99 %.2f s (%d), first token otherwise p50 %.3f s p95 %.3f s p99 %.3f s\n",
		totals.ColdStart.P50, totals.ColdStart.P99, totals.ColdStart.Count, totals.FirstToken.P50, totals.FirstToken.P95, totals.FirstToken.P99)
}

func printViolations(out io.Writer, violations []lab.Violation) {
	for _, violation := range violations {
		fmt.Fprintf(out, "violation (%s): %s\n", violation.Invariant, violation.Detail)
	}
}
