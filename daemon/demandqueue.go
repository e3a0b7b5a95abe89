package daemon

import (
	"sync"

	"github.com/lotusferry/lotusferry/structs"
)

// demandQueue collects the routers' demand reports until the leader's next planning
// round.
type demandQueue struct {
	mutex   sync.Mutex
	reports []structs.DemandReport
	// unserved is signalled when requests wait for a row without a ready replica. Other
	// demand waits for the next round.
	unserved notifier
}

// maxPendingReports bounds the queue. On overflow the oldest report is dropped, since
// routers report again soon.
const maxPendingReports = 4096

func newDemandQueue() *demandQueue { return &demandQueue{} }

func (b *demandQueue) put(report structs.DemandReport) {
	b.mutex.Lock()
	b.reports = append(b.reports, report)
	if len(b.reports) > maxPendingReports {
		b.reports = b.reports[1:]
	}
	b.mutex.Unlock()
	if hasUnserved(report) {
		b.unserved.broadcast()
	}
}

// hasUnserved reports whether requests wait for a row without a ready replica.
func hasUnserved(report structs.DemandReport) bool {
	for _, row := range report.Rows {
		if row.Waiting > 0 && row.Unserved {
			return true
		}
	}
	return false
}

// take returns and removes all reports.
func (b *demandQueue) take() []structs.DemandReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	reports := b.reports
	b.reports = nil
	return reports
}
