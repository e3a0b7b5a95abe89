package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// bootstrapRows is how many rows one edit of the bootstrap adds.
const bootstrapRows = 500

// editRecord is one edit and what became of it.
type editRecord struct {
	edit     structs.Edit
	sentAt   int64
	endedAt  int64
	accepted bool
	revision uint64
}

// operator sends edits from a daemon of the first zone.
type operator struct {
	site    *site
	process *process
	edits   []*editRecord
	// rows are the rows as the operator knows them, with their revisions.
	rows map[structs.RowName]structs.Row
	// history tells all values of MaxReplicas with the time from which they may hold.
	history map[structs.RowName][]limitChange
	open    int
	running bool
	zones   int
}

// limitChange is a replica limit that an edit set.
type limitChange struct {
	at    int64
	limit int
}

func newOperator(s *site) *operator {
	first := s.zones[0].processes
	return &operator{
		site: s, process: first[len(first)-1],
		rows: map[structs.RowName]structs.Row{}, history: map[structs.RowName][]limitChange{},
	}
}

// registerZones makes the zones known to the global group.
func (o *operator) registerZones() {
	for _, id := range o.site.zoneIDs() {
		command := table.Command{Zone: &table.ZoneCommand{Zone: id, Weight: 1}}
		o.site.proposeGlobal(o.process, trafficEdit, command, func(table.Result) { o.zones++ })
	}
}

// bootstrap adds the whole table, edit after edit.
func (o *operator) bootstrap(from int) {
	if from >= len(o.site.rows) {
		return
	}
	to := min(from+bootstrapRows, len(o.site.rows))
	edit := structs.Edit{ID: structs.EditID(fmt.Sprintf("bootstrap-%d", from)), Author: "operator"}
	for _, row := range o.site.rows[from:to] {
		edit.Changes = append(edit.Changes, structs.RowChange{Row: row})
	}
	o.send(edit, func() { o.bootstrap(to) })
}

// send proposes an edit; then runs once it is decided.
func (o *operator) send(edit structs.Edit, then func()) {
	zone := o.process.zone
	record := &editRecord{edit: edit, sentAt: zone.now}
	o.edits = append(o.edits, record)
	o.open++
	for _, change := range edit.Changes {
		name := change.Row.Name
		o.history[name] = append(o.history[name], limitChange{zone.now, change.Row.MaxReplicas})
	}
	command := table.Command{Edit: &table.EditCommand{Edit: edit, At: zone.time()}}
	o.site.proposeGlobal(o.process, trafficEdit, command, func(result table.Result) {
		o.open--
		record.endedAt = zone.now
		if result.Edit != nil && result.Edit.Accepted {
			record.accepted = true
			record.revision = result.Edit.Revision
			o.learn(edit, result.Edit.Revision)
		}
		then()
	})
}

func (o *operator) learn(edit structs.Edit, revision uint64) {
	for _, change := range edit.Changes {
		row := change.Row
		row.Revision = revision
		o.rows[row.Name] = row
	}
}

// startEdits begins the steady edits and, after a delay, the burst.
func (o *operator) startEdits(burstAfter time.Duration) {
	zone := o.process.zone
	o.running = true
	rate := o.site.options.EditsPerDay / (24 * time.Hour).Seconds()
	zone.arrivals(rate, o.editOne)
	zone.after(burstAfter, func() {
		if !o.running {
			return
		}
		for range o.site.options.BurstEdits {
			o.editOne()
		}
	})
}

// editOne changes the weight, or now and then the replica limit, of one row.
func (o *operator) editOne() {
	zone := o.process.zone
	if !o.running {
		return
	}
	row := o.rows[o.site.rows[zone.random.IntN(len(o.site.rows))].Name]
	base := row.Revision
	row.Weight = 1 + zone.random.IntN(table.MaxRowWeight)
	if zone.random.IntN(4) == 0 {
		row.MaxReplicas = max(row.MinReplicas, row.MaxReplicas+zone.random.IntN(3)-1)
	}
	o.send(structs.Edit{
		ID:      structs.EditID(fmt.Sprintf("edit-%d", len(o.edits))),
		Author:  "operator",
		Changes: []structs.RowChange{{Row: row, BaseRevision: base}},
	}, func() {})
}
