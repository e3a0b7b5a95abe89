package structs

import "time"

// EditID is made by the operator's client; a resend carries the same one.
type EditID string

// RowChange is one change of an Edit.
type RowChange struct {
	// Row is the wanted row. For a deletion only Name is read.
	Row    Row
	Delete bool
	// BaseRevision is the revision of the row that the operator saw; 0 means that
	// the row was not there.
	BaseRevision uint64
}

// Edit is a set of changes that take effect together or not at all.
type Edit struct {
	ID      EditID
	Author  string
	Comment string
	Changes []RowChange
}

// RowProblem names what is wrong with one value of one row.
type RowProblem struct {
	Row     RowName `json:"row"`
	Column  string  `json:"column"`
	Value   string  `json:"value"`
	Problem string  `json:"problem"`
	Remedy  string  `json:"remedy"`
}

// RowConflict shows the row as it is, to an operator whose BaseRevision was old.
type RowConflict struct {
	Row RowName `json:"row"`
	// Current is nil when the row has been deleted or never was.
	Current      *Row   `json:"current,omitempty"`
	BaseRevision uint64 `json:"base_revision"`
}

// EditResult is the answer to an Edit. A resend of the same EditID gets the
// first answer again, also after snapshots and restarts.
type EditResult struct {
	ID EditID `json:"id"`
	// Accepted is true when all changes are in the table at Revision.
	Accepted  bool          `json:"accepted"`
	Revision  uint64        `json:"revision"`
	Problems  []RowProblem  `json:"problems,omitempty"`
	Conflicts []RowConflict `json:"conflicts,omitempty"`
}

// HistoryEntry records one accepted edit.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Comment  string    `json:"comment,omitempty"`
	EditID   EditID    `json:"edit_id"`
	Rows     []RowName `json:"rows"`
}
