package structs

// ZoneView is what a router needs of its zone: it is sent as changes after the
// revision that the router has.
type ZoneView struct {
	// Index is the zone log index that the view reflects.
	Index uint64
	// SinceIndex is the index after which a partial placement's changes begin.
	SinceIndex uint64
	// Epoch is the zone group's term when the view was made.
	Epoch Epoch
	// Table is the change of the table since the router's table revision.
	Table TableDelta
	// Part is set when Table holds only a part of the rows of the whole table.
	Part *ViewPart
	// Placement lists the runners and replicas of the zone; nil means no change
	// after SinceIndex.
	Placement *Placement
}

// ViewPart says which rows of the table a view holds, in the order of their names.
// Parts may be of different revisions: together they are the table at the lowest of
// them, with some rows newer.
type ViewPart struct {
	// After is the name that the part's rows follow; empty for the first part.
	After RowName
	// More is set when rows follow the part's, and Last is then the part's last.
	More bool
	Last RowName
}

// restoredEpochs is by how many epochs a zone group must be ahead of what a router
// knows to count as restored from a backup: half of what such a group begins ahead
// of its backup. That a group has so many elections between two views is possible,
// and harmless: the router then reads the whole view once.
const restoredEpochs = 1 << 19

// RestoredSince reports whether the view is of a group that was restored from a
// backup after the epoch: its log begins anew at an earlier index.
func (v *ZoneView) RestoredSince(epoch Epoch) bool {
	return epoch > 0 && v.Epoch >= epoch+restoredEpochs
}

// Replaced reports whether the view is of a group in whose place one of the epoch
// was restored.
func (v *ZoneView) Replaced(epoch Epoch) bool {
	return v.Epoch > 0 && epoch >= v.Epoch+restoredEpochs
}

// HasChanges reports whether a router that has the table at the revision sinceTable learns
// something from the view. A controller that has applied nothing, as after a start
// without a quorum, has no news: answering at once would have its routers ask without
// a pause.
func (v *ZoneView) HasChanges(sinceTable uint64) bool {
	if v.Index == 0 {
		return false
	}
	return v.Part != nil || v.Placement != nil || v.Table.Revision > sinceTable
}

// Placement lists where replicas are.
type Placement struct {
	// Partial means that only runners that changed are listed, each with all of
	// its replicas; the others are as they were.
	Partial  bool
	Runners  []RunnerInfo
	Replicas []Replica
}

// ZoneStatus is one zone's state as operators see it.
type ZoneStatus struct {
	Zone          ZoneID `json:"zone"`
	TableRevision uint64 `json:"table_revision"`
	// Reachable is false when the zone has not been heard of lately.
	Reachable bool      `json:"reachable"`
	Leader    DaemonID  `json:"leader"`
	Replicas  []Replica `json:"replicas,omitempty"`
	// Surplus names rows with replicas still to be unloaded after a limit was lowered.
	Surplus []RowSurplus `json:"surplus,omitempty"`
}

// RowSurplus counts replicas above a lowered limit.
type RowSurplus struct {
	Row      RowName `json:"row"`
	Replicas int     `json:"replicas"`
	Limit    int     `json:"limit"`
}

// ViewRequest says what a router asks a controller of its zone for: what changed
// after the revisions, or a part of the whole table.
type ViewRequest struct {
	SinceTable uint64
	SinceIndex uint64
	// Whole asks for the part of the whole table after the row After, whatever
	// changed.
	Whole bool
	After RowName
}
