package simulate

import "fmt"

// Judge collects the violations that checkers report. The first one ends the seed.
type Judge struct {
	scheduler *Scheduler
	trace     *Trace
	violation *Violation
	// only, if set, is the only checker whose reports count.
	only string
}

// Report records a violation of the checker's invariant.
func (j *Judge) Report(checker, format string, arguments ...any) {
	if j.violation != nil || j.only != "" && checker != j.only {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	j.trace.Note("violation", checker, message)
	j.violation = &Violation{
		Checker: checker,
		Message: message,
		At:      j.scheduler.Now(),
		Trace:   j.trace.Last(),
	}
	j.scheduler.Stop()
}

func formatCount(count int) string { return fmt.Sprintf("%d", count) }
