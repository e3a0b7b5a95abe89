package daemon

import (
	"time"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Methods of the internal protocol. The service "Raft" belongs to package group.
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

// maxWait bounds a long poll. It is shorter than the transport's call timeout.
const maxWait = 2 * time.Second

// ProposeArguments carries an encoded command for a group.
type ProposeArguments struct {
	Command []byte
}

// GlobalReply is the result of a command of the global group.
type GlobalReply struct {
	Result table.Result
	Error  *structs.Error
}

// DeltaArguments asks for the table's changes for a zone after a revision. The call
// returns when there are changes, or after Wait.
type DeltaArguments struct {
	Zone  structs.ZoneID
	Since uint64
	Wait  time.Duration
}

// DeltaReply carries the changes. Delta.Revision equals Since if there are none.
type DeltaReply struct {
	Delta structs.TableDelta
	Error *structs.Error
}

// TableArguments asks for the table once its revision is above Since, or after Wait.
// With Changes set, only the changes after Since are returned.
type TableArguments struct {
	Since   uint64
	Wait    time.Duration
	Changes bool
}

type TableReply struct {
	Revision uint64
	Rows     []structs.Row
	// Deleted lists deleted rows, in a reply with changes that is not Full.
	Deleted []structs.RowName
	Full    bool
	Error   *structs.Error
}

// CheckArguments asks for a dry run of an edit.
type CheckArguments struct {
	Edit structs.Edit
}

// CheckReply is the result of a dry run.
type CheckReply struct {
	Result structs.EditResult
	Error  *structs.Error
}

// HistoryArguments asks for the most recent accepted edits.
type HistoryArguments struct {
	Limit int
}

// HistoryReply lists edits, newest first.
type HistoryReply struct {
	Entries []structs.HistoryEntry
	Error   *structs.Error
}

type StatusArguments struct{}

// GlobalStatusReply is the status of the global group and the zones it knows.
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

// ViewArguments asks for the changes of a router's view after the given revisions. The
// call returns when there are changes, or after Wait.
type ViewArguments struct {
	SinceTable uint64
	SinceIndex uint64
	// Parts is set if the router accepts a whole table in parts. Whole asks for the
	// part that starts after the row After, even if changes would suffice.
	Parts bool
	Whole bool
	After structs.RowName
	Wait  time.Duration
}

// request returns the arguments as a request to the zone's state.
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

// DemandReply acknowledges a demand report. A leader with a new Epoch does not know the
// earlier reports.
type DemandReply struct {
	Epoch structs.Epoch
	Error *structs.Error
}

// ReportsArguments carries engine reports that a router relays for its share of the
// runners.
type ReportsArguments struct {
	Relay structs.ReportRelay
}

// ReportsReply acknowledges relayed reports. Share is set if the router's share has
// changed.
type ReportsReply struct {
	Share *structs.ReportShare
	Error *structs.Error
}

type ZoneStatusReply struct {
	Status structs.ZoneStatus
	Error  *structs.Error
}
