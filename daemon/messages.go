package daemon

import (
	"time"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// The methods of the internal protocol. The service "Raft" is package group's.
const (
	methodGlobalPropose = "Global.Propose"
	methodGlobalDelta   = "Global.Delta"
	methodGlobalTable   = "Global.Table"
	methodGlobalCheck   = "Global.Check"
	methodGlobalHistory = "Global.History"
	methodGlobalStatus  = "Global.Status"
	methodZonePropose   = "Zone.Propose"
	methodZoneView      = "Zone.View"
	methodZoneDemand    = "Zone.Demand"
	methodZoneReports   = "Zone.Reports"
	methodZoneStatus    = "Zone.Status"
)

// maxWait bounds a long poll, below the transport's call timeout.
const maxWait = 2 * time.Second

// ProposeArguments carries an encoded command of a group.
type ProposeArguments struct {
	Command []byte
}

// GlobalReply is the result of a command of the global group.
type GlobalReply struct {
	Result table.Result
	Error  *structs.Error
}

// DeltaArguments asks for the table's changes for a zone after a revision. The
// call returns when there are some, or after Wait.
type DeltaArguments struct {
	Zone  structs.ZoneID
	Since uint64
	Wait  time.Duration
}

// DeltaReply carries the changes; Delta.Revision equals Since when there are none.
type DeltaReply struct {
	Delta structs.TableDelta
	Error *structs.Error
}

// TableArguments asks for the table once its revision is above Since, or after
// Wait: the whole table, or only what changed after Since.
type TableArguments struct {
	Since   uint64
	Wait    time.Duration
	Changes bool
}

// TableReply carries the whole table, or its changes.
type TableReply struct {
	Revision uint64
	Rows     []structs.Row
	// Deleted rows are listed in a reply with changes that is not Full.
	Deleted []structs.RowName
	Full    bool
	Error   *structs.Error
}

// CheckArguments asks what an edit would do.
type CheckArguments struct {
	Edit structs.Edit
}

// CheckReply is the answer to a dry run.
type CheckReply struct {
	Result structs.EditResult
	Error  *structs.Error
}

// HistoryArguments asks for the newest accepted edits.
type HistoryArguments struct {
	Limit int
}

// HistoryReply lists edits, newest first.
type HistoryReply struct {
	Entries []structs.HistoryEntry
	Error   *structs.Error
}

// StatusArguments asks for the status of a group.
type StatusArguments struct{}

// GlobalStatusReply is the global group's view of the site.
type GlobalStatusReply struct {
	Revision uint64
	Leader   structs.DaemonID
	Zones    []table.ZoneState
	Error    *structs.Error
}

// SaveReply carries a snapshot of a group and the identity of the member that took it.
type SaveReply struct {
	Snapshot raft.Snapshot
	Identity logstore.Identity
	Error    *structs.Error
}

// ZoneReply is the result of a command of a zone group.
type ZoneReply struct {
	Result zone.Result
	Error  *structs.Error
}

// ViewArguments asks for what a router needs after the given revisions. The
// call returns when there is something, or after Wait.
type ViewArguments struct {
	SinceTable uint64
	SinceIndex uint64
	// Parts says that the router takes a whole table in parts. Whole asks for the
	// part after the row After, even when changes would do.
	Parts bool
	Whole bool
	After structs.RowName
	Wait  time.Duration
}

// request is what the zone's state is asked for.
func (a ViewArguments) request() structs.ViewRequest {
	return structs.ViewRequest{SinceTable: a.SinceTable, SinceIndex: a.SinceIndex, Whole: a.Whole, After: a.After}
}

// ViewReply carries the changes of the view.
type ViewReply struct {
	View  structs.ZoneView
	Error *structs.Error
}

// DemandArguments carries a router's demand to the zone leader.
type DemandArguments struct {
	Report structs.DemandReport
}

// DemandReply acknowledges a demand report. The leader of another epoch than
// before does not know the earlier reports.
type DemandReply struct {
	Epoch structs.Epoch
	Error *structs.Error
}

// ReportsArguments carries a router's word on its share of the engines' reports.
type ReportsArguments struct {
	Relay structs.ReportRelay
}

// ReportsReply acknowledges it. Share is set when the router has another share from
// now on.
type ReportsReply struct {
	Share *structs.ReportShare
	Error *structs.Error
}

// ZoneStatusReply is a controller's view of its zone.
type ZoneStatusReply struct {
	Status structs.ZoneStatus
	Error  *structs.Error
}
