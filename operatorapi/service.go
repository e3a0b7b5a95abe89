package operatorapi

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Service is what operators can ask of a site. Its errors are *structs.Error.
type Service interface {
	// Table returns the whole table at its newest revision.
	Table(ctx context.Context) (TableView, error)
	// Apply makes the edit, or only tells what it would do. A refused edit is an
	// answer and no error: its result names the problems or conflicts.
	Apply(ctx context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error)
	// History returns the newest accepted edits, newest first, at most limit.
	History(ctx context.Context, limit int) ([]structs.HistoryEntry, error)
	// Status tells how far the zones and daemons are.
	Status(ctx context.Context) (SiteStatus, error)
	// Watch returns what changed in the table as soon as its revision is above since,
	// or nothing after wait.
	Watch(ctx context.Context, since uint64, wait time.Duration) (TableChanges, error)
	// Drain starts or cancels the drain of a runner or a daemon. Repeating it is safe.
	Drain(ctx context.Context, request DrainRequest) error
	// Members lists the members of the global group and of each zone's group.
	Members(ctx context.Context) ([]GroupMembers, error)
	// ChangeMember makes one change of a group's membership. Repeating it is safe.
	ChangeMember(ctx context.Context, change MemberChange) error
	// SaveSnapshot returns a snapshot of a group, "global" or "zone-" and the zone's
	// ID, as the content of a snapshot file of package logstore.
	SaveSnapshot(ctx context.Context, group string) ([]byte, error)
}

// TableView is the table at a revision.
type TableView struct {
	Revision uint64        `json:"revision"`
	Rows     []structs.Row `json:"rows"`
}

// TableChanges is what changed in the table after the revision Since.
type TableChanges struct {
	Since    uint64 `json:"since"`
	Revision uint64 `json:"revision"`
	// Full says that Rows is the whole table: the changes are not known any more, or
	// Since is 0 or newer than the table.
	Full    bool              `json:"full,omitempty"`
	Rows    []structs.Row     `json:"rows,omitempty"`
	Deleted []structs.RowName `json:"deleted,omitempty"`
}

// Apply returns the table after the changes, sorted by name. The view must be of
// the revision Since unless the changes are full; it stays as it is.
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

// SiteStatus is the state of the site as the answering daemon knows it.
type SiteStatus struct {
	// Revision is the table's newest revision.
	Revision uint64               `json:"revision"`
	Zones    []structs.ZoneStatus `json:"zones"`
	Daemons  []DaemonStatus       `json:"daemons"`
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	Daemon structs.DaemonID `json:"daemon"`
	Zone   structs.ZoneID   `json:"zone"`
	Roles  []string         `json:"roles,omitempty"`
	// Address is the operators' address, empty when it is not known.
	Address string `json:"address,omitempty"`
	// Reachable is false when the daemon did not answer the one that was asked.
	Reachable bool `json:"reachable"`
	// LeadsSite and LeadsZone tell which groups the daemon leads.
	LeadsSite bool `json:"leads_site"`
	LeadsZone bool `json:"leads_zone"`
	// TableRevision is the revision that the daemon works by, 0 when it does not answer.
	TableRevision uint64 `json:"table_revision"`
	// Draining says that the daemon takes no callers' requests until an operator ends
	// the drain, and OpenRequests how many it has still to finish. Both are zero when
	// the daemon does not answer.
	Draining     bool `json:"draining,omitempty"`
	OpenRequests int  `json:"open_requests,omitempty"`
}

// DrainRequest asks that a runner be emptied or used again, or that a daemon take
// no callers' requests or take them again. It names one of the two.
type DrainRequest struct {
	Runner structs.RunnerID `json:"runner,omitempty"`
	Daemon structs.DaemonID `json:"daemon,omitempty"`
	// Cancel ends a drain.
	Cancel bool `json:"cancel,omitempty"`
}
