package simulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// slowDeltaInterval is the interval of table change requests under
	// mutationSlowDeltas.
	slowDeltaInterval = 20 * time.Second
	// globalTimeout is how long a leader under mutationNeedGlobal continues without
	// an answer of the global group.
	globalTimeout = 2 * time.Second
	// memoryInflation is the factor on a runner's memory under
	// mutationInflateMemory.
	memoryInflation = 1.5
)

// controllerMutations is the state of the mutations of a zone's leader.
type controllerMutations struct {
	// previous is the delta proposed before the last one.
	previous *structs.TableDelta
	// answeredAt is when a global group member in another zone last answered,
	// askedAt when the group was last asked.
	answeredAt time.Time
	askedAt    time.Time
}

// waitsForGlobal reports whether mutationNeedGlobal suspends decisions.
func (c *zoneController) waitsForGlobal() bool {
	if !c.daemon.site.mutated(mutationNeedGlobal) || c.mutated.answeredAt.IsZero() {
		return false
	}
	c.askDelta()
	return c.daemon.now().Sub(c.mutated.answeredAt) > globalTimeout
}

// recordGlobalAnswer records an answer of a global group member.
func (c *zoneController) recordGlobalAnswer(from Address) {
	if other := c.daemon.site.daemonAt(string(from)); other.machine.Zone != c.daemon.machine.Zone {
		c.mutated.answeredAt = c.daemon.now()
	}
}

// mutateRequest changes a request to the global group; it returns false if the
// request is not to be sent.
func (c *zoneController) mutateRequest(request *deltaRequest) bool {
	switch {
	case c.daemon.site.mutated(mutationAdoptOlder):
		request.since = 0
	case c.daemon.site.mutated(mutationSlowDeltas):
		if c.daemon.now().Sub(c.mutated.askedAt) < slowDeltaInterval {
			return false
		}
		c.mutated.askedAt = c.daemon.now()
	}
	return true
}

// mutateReports returns the reports, with more memory under mutationInflateMemory.
func (c *zoneController) mutateReports() map[structs.RunnerID]controller.ReportSeen {
	if !c.daemon.site.mutated(mutationInflateMemory) {
		return c.reports
	}
	inflated := map[structs.RunnerID]controller.ReportSeen{}
	for runner, seen := range c.reports {
		seen.Report.MemoryBytes = int64(float64(seen.Report.MemoryBytes) * memoryInflation)
		inflated[runner] = seen
	}
	return inflated
}

// allReleases returns releases of all lowered grants, even if the zone is not down
// to them.
func (c *zoneController) allReleases() []structs.GrantRelease {
	var releases []structs.GrantRelease
	for _, grant := range c.state.LoweredGrants() {
		releases = append(releases, structs.GrantRelease{
			Row: grant.Row, Zone: grant.Zone, Sequence: grant.Sequence, Limit: grant.Limit,
		})
	}
	return releases
}

// orderUnapplied sends the load order of a reservation that is proposed but not
// committed.
func (c *zoneController) orderUnapplied(index uint64, reserve zone.ReserveCommand) {
	row, _ := c.state.Row(reserve.Row)
	c.sendLater(structs.Order{
		Fence:       structs.Fence{Epoch: structs.Epoch(c.awaitedTerm), Number: structs.OrderNumber(index)},
		Kind:        structs.OrderLoad,
		Runner:      reserve.Runner,
		Incarnation: reserve.Incarnation,
		Row:         reserve.Row,
		Base:        row.Base,
		MemoryBytes: row.MemoryBytes,
	})
}

// mutate returns the delta, changed if a mutation is active.
func (c *zoneController) mutate(delta structs.TableDelta) structs.TableDelta {
	switch {
	case c.daemon.site.mutated(mutationIgnoreGrants):
		return c.inflateGrants(delta)
	case c.daemon.site.mutated(mutationIgnoreFrozen):
		delta.Grants = slices.Clone(delta.Grants)
		for i := range delta.Grants {
			delta.Grants[i].Frozen = false
		}
	case c.daemon.site.mutated(mutationAdoptOlder):
		older := delta
		if c.mutated.previous != nil {
			older = *c.mutated.previous
			older.Revision = delta.Revision
		}
		c.mutated.previous = &delta
		return older
	}
	return delta
}

// inflateGrants grants the whole limit of each row to the zone.
func (c *zoneController) inflateGrants(delta structs.TableDelta) structs.TableDelta {
	limits := map[structs.RowName]int{}
	for _, row := range append(c.state.Rows(), delta.Rows...) {
		limits[row.Name] = row.MaxReplicas
	}
	grants := make([]structs.Grant, len(delta.Grants))
	for i, grant := range delta.Grants {
		grants[i] = grant
		grants[i].Limit = max(grant.Limit, limits[grant.Row])
		grants[i].Held = max(grant.Held, grants[i].Limit)
	}
	delta.Grants = grants
	return delta
}

// tableMutation returns the function that changes the global group's commands, or
// nil.
func (s *tableSite) tableMutation() func(*table.State, uint64, table.Command) table.Command {
	switch {
	case s.mutated(mutationForgetAnswers):
		return forgetAnswers
	case s.mutated(mutationTakeAnyVersion):
		return takeAnyVersion
	}
	return nil
}

// forgetAnswers gives each copy of an edit a new ID.
func forgetAnswers(_ *table.State, index uint64, command table.Command) table.Command {
	if command.Edit == nil {
		return command
	}
	copied := *command.Edit
	copied.Edit.ID = structs.EditID(fmt.Sprintf("%s@%d", copied.Edit.ID, index))
	return table.Command{Edit: &copied}
}

// takeAnyVersion bases each copy of an edit on the current versions of its rows.
func takeAnyVersion(state *table.State, index uint64, command table.Command) table.Command {
	if command.Edit == nil {
		return command
	}
	copied := *forgetAnswers(state, index, command).Edit
	copied.Edit.Changes = slices.Clone(copied.Edit.Changes)
	for i := range copied.Edit.Changes {
		change := &copied.Edit.Changes[i]
		row, _ := state.Row(change.Row.Name)
		change.BaseRevision = row.Revision
	}
	return table.Command{Edit: &copied}
}
