package daemon

import (
	"sync"

	"github.com/lotusferry/lotusferry/structs"
)

// demandBox collects the routers' demand reports until the leader's next round.
type demandBox struct {
	mutex   sync.Mutex
	reports []structs.DemandReport
	// unserved is signalled when requests wait for a row without a ready replica;
	// all other demand can wait for the next round.
	unserved notifier
}

// maxPendingReports bounds the box; a router reports again soon, so that an
// overflow drops the oldest.
const maxPendingReports = 4096

func newDemandBox() *demandBox { return &demandBox{} }

func (b *demandBox) put(report structs.DemandReport) {
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

// take empties the box.
func (b *demandBox) take() []structs.DemandReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	reports := b.reports
	b.reports = nil
	return reports
}
