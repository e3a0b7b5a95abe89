package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/structs"
)

// pollInterval is the interval between status polls.
const pollInterval = 20 * time.Millisecond

// ApplyRows applies one edit of the given rows and waits until it is in force in every
// zone. It returns the elapsed seconds.
func (f *Fleet) ApplyRows(ctx context.Context, rows []structs.Row) (float64, error) {
	edit := structs.Edit{ID: structs.EditID(uuid.NewString()), Author: "lab"}
	for _, row := range rows {
		edit.Changes = append(edit.Changes, structs.RowChange{Row: row, BaseRevision: row.Revision})
	}
	began := time.Now()
	result, err := f.Operators.Apply(ctx, edit, false)
	if err != nil {
		return 0, errors.Wrap(err, "apply an edit")
	}
	if !result.Accepted {
		return 0, structs.NewError(structs.ErrorConflict,
			fmt.Sprintf("the edit was refused: %+v %+v", result.Problems, result.Conflicts),
			"Read the table again and correct the reported problems.")
	}
	if err := f.awaitRevision(ctx, result.Revision); err != nil {
		return 0, err
	}
	return time.Since(began).Seconds(), nil
}

func (f *Fleet) awaitRevision(ctx context.Context, revision uint64) error {
	for {
		outstanding, err := f.zonesBehind(ctx, revision)
		if err == nil && len(outstanding) == 0 {
			return nil
		}
		if !pause.For(ctx, pollInterval) {
			return structs.NewError(structs.ErrorDeadline,
				fmt.Sprintf("revision %d is not in force in %v (%v)", revision, outstanding, err),
				"Check log.txt in the folders of those zones' daemons.")
		}
	}
}

func (f *Fleet) zonesBehind(ctx context.Context, revision uint64) ([]structs.ZoneID, error) {
	status, err := f.Operators.Status(ctx)
	if err != nil {
		return nil, err
	}
	var behind []structs.ZoneID
	for _, zone := range status.Zones {
		if zone.TableRevision < revision {
			behind = append(behind, zone.Zone)
		}
	}
	return behind, nil
}

// awaitUnloaded waits until no zone has a replica of the row and returns the elapsed
// seconds.
func (f *Fleet) awaitUnloaded(ctx context.Context, row structs.RowName) (float64, error) {
	began := time.Now()
	for {
		status, err := f.Operators.Status(ctx)
		if err == nil && countReplicas(status.Zones, row) == 0 {
			return time.Since(began).Seconds(), nil
		}
		if !pause.For(ctx, pollInterval) {
			return 0, structs.NewError(structs.ErrorDeadline,
				fmt.Sprintf("replicas of %s are still loaded (%v)", row, err),
				"Check log.txt in the folders of the daemons for the reason.")
		}
	}
}

func countReplicas(zones []structs.ZoneStatus, row structs.RowName) int {
	count := 0
	for _, zone := range zones {
		for _, replica := range zone.Replicas {
			if replica.Row == row {
				count++
			}
		}
	}
	return count
}
