package simulate

import "fmt"

// Judge collects what the checkers report. The first violation ends the seed.
type Judge struct {
	scheduler *Scheduler
	trace     *Trace
	violation *Violation
	// only, when set, is the one checker that is listened to.
	only string
}

// Report records a violation of the invariant that the checker guards.
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
