package table

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/lotusferry/lotusferry/structs"
	"pgregory.net/rapid"
)

var (
	testModels   = []string{"m1", "m2"}
	testAdapters = []string{"x1", "x2", "x3", "version"}
	testZones    = []string{"a", "b", "c", "d"}
)

// deltaFollower maintains a copy of a state from deltas, as a zone does.
type deltaFollower struct {
	revision  uint64
	rows      map[structs.RowName]structs.Row
	grants    map[structs.RowName]structs.Grant
	elsewhere map[structs.RowName][]structs.ZoneID
}

func (r *deltaFollower) apply(delta structs.TableDelta) {
	if delta.Full {
		r.rows = map[structs.RowName]structs.Row{}
		r.grants = map[structs.RowName]structs.Grant{}
		r.elsewhere = map[structs.RowName][]structs.ZoneID{}
	}
	r.revision = delta.Revision
	for _, name := range delta.Deleted {
		delete(r.rows, name)
		delete(r.elsewhere, name)
	}
	for _, row := range delta.Rows {
		r.rows[row.Name] = row
	}
	for _, grant := range delta.Grants {
		r.grants[grant.Row] = grant
		if grant.Limit == 0 && grant.Held == 0 {
			delete(r.grants, grant.Row)
		}
	}
	for _, zones := range delta.Elsewhere {
		r.elsewhere[zones.Row] = zones.Zones
	}
}

// tableMachine applies random commands to a state and compares it with an oracle of
// its rows.
type tableMachine struct {
	state     *State
	oracle    map[structs.RowName]structs.Row
	answers   map[structs.EditID]structs.EditResult
	edits     []Command
	stale     []structs.Grant
	followers map[string]*deltaFollower
}

// apply applies a command after encoding and decoding it. It checks the revision and
// the held replicas independently of CheckInvariants.
func (m *tableMachine) apply(t *rapid.T, command Command) Result {
	data, err := EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeCommand(data)
	if err != nil || !reflect.DeepEqual(decoded, command) {
		t.Fatalf("decoded %+v of %+v: %v", decoded, command, err)
	}
	revision, heldBefore := m.state.Revision(), m.held()
	result := m.state.Apply(decoded)
	if raised := m.state.Revision() - revision; raised > 1 {
		t.Fatalf("the revision rose by %d", raised)
	}
	for name, held := range m.held() {
		row, _ := m.state.Row(name)
		if held > max(row.MaxReplicas, heldBefore[name]) {
			t.Fatalf("row %q: %d held of %d, %d before", name, held, row.MaxReplicas, heldBefore[name])
		}
	}
	return result
}

func (m *tableMachine) held() map[structs.RowName]int {
	held := make(map[structs.RowName]int)
	for _, name := range slices.Concat(testModels, testAdapters) {
		for _, grant := range m.state.Grants(structs.RowName(name)) {
			held[grant.Row] += grant.Held
		}
	}
	return held
}

func (m *tableMachine) edit(t *rapid.T) {
	wanted := maps.Clone(m.oracle)
	var changes []structs.RowChange
	isValid := true
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(slices.Concat(testModels, testAdapters)), 1, 3, rapid.ID).Draw(t, "names")
	for _, name := range names {
		change := m.drawChange(t, name)
		current, isThere := m.oracle[change.Row.Name]
		isValid = isValid && change.BaseRevision == current.Revision && (isThere || !change.Delete)
		delete(wanted, change.Row.Name)
		if !change.Delete {
			wanted[change.Row.Name] = withRevision(change.Row, m.state.Revision()+1)
		}
		changes = append(changes, change)
	}
	for _, row := range wanted {
		if _, found := wanted[row.Base]; row.Base != "" && !found {
			isValid = false
		}
	}
	command := editOf(fmt.Sprintf("e%d", len(m.edits)), changes...)
	predicted := m.state.Check(command.Edit.Edit)
	answer := m.apply(t, command).Edit
	if answer.Accepted != isValid || !reflect.DeepEqual(predicted, *answer) {
		t.Fatalf("answered %+v, predicted %+v, oracle accepts: %v", answer, predicted, isValid)
	}
	if isValid {
		m.oracle = wanted
	}
	m.edits = append(m.edits, command)
	m.answers[answer.ID] = *answer
}

func withRevision(row structs.Row, revision uint64) structs.Row {
	row.Revision = revision
	return row
}

func (m *tableMachine) drawChange(t *rapid.T, name string) structs.RowChange {
	row := modelRow(name, rapid.IntRange(0, 9).Draw(t, "max"))
	if slices.Contains(testAdapters, name) {
		row = adapterRow(name, rapid.SampledFrom(testModels).Draw(t, "base"), row.MaxReplicas)
	}
	if name == "version" {
		row.Kind = structs.RowVersion
	}
	row.MinReplicas = rapid.IntRange(0, min(2, row.MaxReplicas)).Draw(t, "min")
	change := put(row, m.oracle[row.Name].Revision)
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		change.BaseRevision = m.state.Revision() + 1
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		change.Delete = true
		change.Row = structs.Row{Name: row.Name}
	}
	return change
}

func (m *tableMachine) resend(t *rapid.T) {
	if len(m.edits) == 0 {
		t.Skip("nothing to resend")
	}
	command := rapid.SampledFrom(m.edits).Draw(t, "resent")
	answer := m.apply(t, command).Edit
	if !reflect.DeepEqual(*answer, m.answers[answer.ID]) {
		t.Fatalf("resend answered %+v, first %+v", answer, m.answers[answer.ID])
	}
}

func (m *tableMachine) wish(t *rapid.T) {
	command := WishCommand{Zone: structs.ZoneID(rapid.SampledFrom(testZones).Draw(t, "zone"))}
	for range rapid.IntRange(1, 3).Draw(t, "count") {
		name := rapid.SampledFrom(slices.Concat(testModels, testAdapters)).Draw(t, "row")
		wish := structs.GrantWish{Row: structs.RowName(name), Wanted: rapid.IntRange(0, 6).Draw(t, "wanted")}
		command.Wishes = append(command.Wishes, wish)
	}
	m.apply(t, Command{Wish: &command})
}

func (m *tableMachine) release(t *rapid.T) {
	var grants []structs.Grant
	for _, name := range slices.Concat(testModels, testAdapters) {
		grants = append(grants, m.state.Grants(structs.RowName(name))...)
	}
	grants = append(grants, m.stale...)
	if len(grants) == 0 {
		t.Skip("nothing to release")
	}
	grant := rapid.SampledFrom(grants).Draw(t, "grant")
	m.stale = append(m.stale, grant)
	command := releaseOf(grant)
	if rapid.Bool().Draw(t, "below the limit") {
		command.Release.Limit = rapid.IntRange(0, grant.Limit).Draw(t, "loaded")
	}
	m.apply(t, command)
}

func (m *tableMachine) zone(t *rapid.T) {
	m.apply(t, Command{Zone: &ZoneCommand{
		Zone:   structs.ZoneID(rapid.SampledFrom(testZones).Draw(t, "zone")),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
		Remove: rapid.IntRange(0, 2).Draw(t, "remove") == 0,
		Force:  rapid.Bool().Draw(t, "force"),
	}})
}

func (m *tableMachine) inForce(t *rapid.T) {
	zone := structs.ZoneID(rapid.SampledFrom(testZones).Draw(t, "zone"))
	m.apply(t, Command{InForce: &InForceCommand{Zone: zone, Revision: rapid.Uint64Range(0, m.state.Revision()).Draw(t, "revision")}})
}

func (m *tableMachine) restore(t *rapid.T) {
	data, err := m.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatalf("the restored state has another snapshot: %v", err)
	}
	m.state = restored
}

// delta updates one zone's follower and compares it with the state.
func (m *tableMachine) delta(t *rapid.T) {
	zone := rapid.SampledFrom(testZones).Draw(t, "zone")
	follower := m.followers[zone]
	follower.apply(m.state.Delta(structs.ZoneID(zone), follower.revision))
	grants := map[structs.RowName]structs.Grant{}
	elsewhere := map[structs.RowName][]structs.ZoneID{}
	for _, name := range slices.Concat(testModels, testAdapters) {
		for _, grant := range m.state.Grants(structs.RowName(name)) {
			if string(grant.Zone) == zone {
				grants[grant.Row] = grant
			}
			if grant.Limit > 0 {
				elsewhere[grant.Row] = append(elsewhere[grant.Row], grant.Zone)
			}
		}
		if _, isThere := m.oracle[structs.RowName(name)]; isThere && elsewhere[structs.RowName(name)] == nil {
			elsewhere[structs.RowName(name)] = nil
		}
	}
	if !maps.Equal(follower.rows, m.oracle) || !maps.Equal(follower.grants, grants) || !reflect.DeepEqual(follower.elsewhere, elsewhere) {
		t.Fatalf("follower has\n%+v, table\n%+v\n%+v\n%+v", follower, m.oracle, grants, elsewhere)
	}
}

func (m *tableMachine) check(t *rapid.T) {
	if err := m.state.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
	m.checkServable(t)
	m.checkFrozen(t)
	rows := m.state.Rows()
	if len(rows) != len(m.oracle) {
		t.Fatalf("the table has %d rows, the oracle %d", len(rows), len(m.oracle))
	}
	for _, row := range rows {
		if m.oracle[row.Name] != row {
			t.Fatalf("the table has %+v, the oracle %+v", row, m.oracle[row.Name])
		}
	}
	accepted := 0
	for _, answer := range m.answers {
		if answer.Accepted {
			accepted++
		}
	}
	if history := m.state.History(0); len(history) != accepted {
		t.Fatalf("the history has %d entries of %d accepted edits", len(history), accepted)
	}
}

// checkFrozen checks that a row is frozen exactly if more replicas are held than its
// limit.
func (m *tableMachine) checkFrozen(t *rapid.T) {
	for name, held := range m.held() {
		for _, grant := range m.state.Grants(name) {
			if grant.Frozen != (grant.Limit > 0 && held > m.oracle[name].MaxReplicas) {
				t.Fatalf("row %q holds %d of %d: %+v", name, held, m.oracle[name].MaxReplicas, grant)
			}
		}
	}
}

// checkServable checks from the exported grants that an adapter is served only in the
// zones of its base, and that the minimums add up to the row's.
func (m *tableMachine) checkServable(t *rapid.T) {
	limits := make(map[structs.RowName]map[structs.ZoneID]int)
	for _, name := range slices.Concat(testModels, testAdapters) {
		limits[structs.RowName(name)] = make(map[structs.ZoneID]int)
		for _, grant := range m.state.Grants(structs.RowName(name)) {
			limits[grant.Row][grant.Zone] = grant.Limit
		}
	}
	for name := range limits {
		row, isThere := m.oracle[name]
		allowed, kept := 0, 0
		for _, grant := range m.state.Grants(name) {
			loadable := grant.Limit
			if row.NeedsBase() {
				loadable = min(loadable, limits[row.Base][grant.Zone])
			}
			if row.NeedsBase() && grant.Limit > 0 && loadable == 0 {
				t.Fatalf("adapter %q has %+v without its base", name, grant)
			}
			if grant.Minimum > loadable {
				t.Fatalf("row %q is to keep more than it may load: %+v", name, grant)
			}
			allowed += loadable
			kept += grant.Minimum
		}
		if isThere && kept != min(row.MinReplicas, allowed) || !isThere && kept != 0 {
			t.Fatalf("row %q keeps %d of %d, %d may be loaded", name, kept, row.MinReplicas, allowed)
		}
	}
}

func TestRandomCommandsMatchOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &tableMachine{
			state:     New(),
			oracle:    map[structs.RowName]structs.Row{},
			answers:   map[structs.EditID]structs.EditResult{},
			followers: map[string]*deltaFollower{},
		}
		for _, zone := range testZones {
			machine.followers[zone] = &deltaFollower{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": machine.edit, "resend": machine.resend, "wish": machine.wish, "release": machine.release,
			"zone": machine.zone, "inForce": machine.inForce, "restore": machine.restore, "delta": machine.delta,
			"": machine.check,
		})
	})
}
