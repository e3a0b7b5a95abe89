package operatorapi

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Service is the set of operations that a site offers to operators. Its errors are
// *structs.Error.
type Service interface {
	// Table returns the whole table at its latest revision.
	Table(ctx context.Context) (TableView, error)
	// Apply applies the edit, or only validates it if dryRun is set. A rejected edit
	// is not an error; the result lists its problems or conflicts.
	Apply(ctx context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error)
	// History returns at most limit accepted edits, newest first.
	History(ctx context.Context, limit int) ([]structs.HistoryEntry, error)
	// Status returns the state of the zones and daemons.
	Status(ctx context.Context) (SiteStatus, error)
	// Watch blocks until the table's revision is above since and returns the changes,
	// or returns no changes after wait.
	Watch(ctx context.Context, since uint64, wait time.Duration) (TableChanges, error)
	// Drain starts or cancels the drain of a runner or a daemon. It is idempotent.
	Drain(ctx context.Context, request DrainRequest) error
	// Members returns the members of the global group and of each zone's group.
	Members(ctx context.Context) ([]GroupMembers, error)
	// ChangeMember makes one membership change of a group. It is idempotent.
	ChangeMember(ctx context.Context, change MemberChange) error
	// SaveSnapshot returns a snapshot of a group ("global", or "zone-" followed by the
	// zone's ID) in the snapshot file format of package logstore.
	SaveSnapshot(ctx context.Context, group string) ([]byte, error)
}

// TableView is the table at a revision.
type TableView struct {
	Revision uint64        `json:"revision"`
	Rows     []structs.Row `json:"rows"`
}

// TableChanges holds the changes of the table after the revision Since.
type TableChanges struct {
	Since    uint64 `json:"since"`
	Revision uint64 `json:"revision"`
	// Full is set if Rows is the whole table, because the changes are no longer known,
	// or Since is 0 or newer than the table.
	Full    bool              `json:"full,omitempty"`
	Rows    []structs.Row     `json:"rows,omitempty"`
	Deleted []structs.RowName `json:"deleted,omitempty"`
}

// Apply returns the table after the changes, sorted by name. Unless Full is set, view
// must be at the revision Since. It does not modify view.
func (c TableChanges) Apply(view TableView) TableView {
	rows := map[structs.RowName]structs.Row{}
	if !c.Full {
		for _, row := range view.Rows {
			rows[row.Name] = row
		}
	}
	for _, name := range c.Deleted {
		delete(rows, name)
	}
	for _, row := range c.Rows {
		rows[row.Name] = row
	}
	byName := func(a, b structs.Row) int { return cmp.Compare(a.Name, b.Name) }
	return TableView{Revision: c.Revision, Rows: slices.SortedFunc(maps.Values(rows), byName)}
}

// SiteStatus is the state of the site, as known to the responding daemon.
type SiteStatus struct {
	// Revision is the table's latest revision.
	Revision uint64               `json:"revision"`
	Zones    []structs.ZoneStatus `json:"zones"`
	Daemons  []DaemonStatus       `json:"daemons"`
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	Daemon structs.DaemonID `json:"daemon"`
	Zone   structs.ZoneID   `json:"zone"`
	Roles  []string         `json:"roles,omitempty"`
	// Address is the operator address, empty if unknown.
	Address string `json:"address,omitempty"`
	// Reachable is false if the daemon did not respond to the queried daemon.
	Reachable bool `json:"reachable"`
	// LeadsSite and LeadsZone report whether the daemon leads the global group and its
	// zone's group.
	LeadsSite bool `json:"leads_site"`
	LeadsZone bool `json:"leads_zone"`
	// TableRevision is the revision that the daemon uses, 0 if it does not respond.
	TableRevision uint64 `json:"table_revision"`
	// Draining reports whether the daemon rejects callers' requests until an operator
	// cancels the drain. OpenRequests counts the requests in progress during a drain.
	// Both are zero if the daemon does not respond.
	Draining     bool `json:"draining,omitempty"`
	OpenRequests int  `json:"open_requests,omitempty"`
}

// DrainRequest starts or cancels the drain of a runner or of a daemon. Exactly one of
// Runner and Daemon is set. A draining runner is emptied, and a draining daemon rejects
// callers' requests.
type DrainRequest struct {
	Runner structs.RunnerID `json:"runner,omitempty"`
	Daemon structs.DaemonID `json:"daemon,omitempty"`
	// Cancel cancels a drain instead of starting one.
	Cancel bool `json:"cancel,omitempty"`
}
