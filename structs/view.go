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
	// Placement lists the runners and replicas of the zone; nil means no change
	// after SinceIndex.
	Placement *Placement
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
