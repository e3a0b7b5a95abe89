package structs

// ZoneView is the state of a zone that its routers need, sent as the changes since the
// revision that the router has.
type ZoneView struct {
	// Index is the zone log index that the view reflects.
	Index uint64
	// SinceIndex is the index after which the changes of a partial placement begin.
	SinceIndex uint64
	// Epoch is the zone group's term when the view was made.
	Epoch Epoch
	// Table contains the changes since the router's table revision.
	Table TableDelta
	// Part is set if Table contains only a part of the full table.
	Part *ViewPart
	// Placement lists the runners and replicas of the zone; nil for no change after
	// SinceIndex.
	Placement *Placement
}

// ViewPart describes which rows of the table, in the order of their names, a view
// contains. Parts may have different revisions: together they give the table at the
// lowest of these, with some newer rows.
type ViewPart struct {
	// After is the name of the row before the part; empty for the first part.
	After RowName
	// More is set if further rows follow; Last is then the last row of the part.
	More bool
	Last RowName
}

// restoredEpochs is the increase of the epoch from which a zone group counts as
// restored from a backup: half of that with which a restored group starts. If elections
// alone raise the epoch that much between two views, the router only fetches one
// needless full view.
const restoredEpochs = 1 << 19

// RestoredSince reports whether the group of the view was restored from a backup after
// the epoch, so that its log starts again at an earlier index.
func (v *ZoneView) RestoredSince(epoch Epoch) bool {
	return epoch > 0 && v.Epoch >= epoch+restoredEpochs
}

// Replaced reports whether the group of the view has been replaced by a restored one
// with the epoch.
func (v *ZoneView) Replaced(epoch Epoch) bool {
	return v.Epoch > 0 && epoch >= v.Epoch+restoredEpochs
}

// HasChanges reports whether the view has changes for a router whose table has the revision
// sinceTable. The view of a controller that has applied nothing, as after a start
// without a quorum, has none, so that its routers do not poll without delay.
func (v *ZoneView) HasChanges(sinceTable uint64) bool {
	if v.Index == 0 {
		return false
	}
	return v.Part != nil || v.Placement != nil || v.Table.Revision > sinceTable
}

// Placement lists the runners and replicas of a zone.
type Placement struct {
	// Partial is set if only changed runners are listed, each with all of its replicas.
	Partial  bool
	Runners  []RunnerInfo
	Replicas []Replica
}

// ZoneStatus is the state of a zone for operators.
type ZoneStatus struct {
	Zone          ZoneID `json:"zone"`
	TableRevision uint64 `json:"table_revision"`
	// Reachable is false if the zone has sent no recent report.
	Reachable bool      `json:"reachable"`
	Leader    DaemonID  `json:"leader"`
	Replicas  []Replica `json:"replicas,omitempty"`
	// Surplus lists rows with replicas to be unloaded after a limit was lowered.
	Surplus []RowSurplus `json:"surplus,omitempty"`
}

// RowSurplus counts replicas above a lowered limit.
type RowSurplus struct {
	Row      RowName `json:"row"`
	Replicas int     `json:"replicas"`
	Limit    int     `json:"limit"`
}

// ViewRequest is a router's request to a controller of its zone: for the changes after
// the given revisions, or for a part of the full table.
type ViewRequest struct {
	SinceTable uint64
	SinceIndex uint64
	// Whole requests the part of the full table after the row After, regardless of
	// changes.
	Whole bool
	After RowName
}
