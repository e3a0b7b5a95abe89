package capacity

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// The dimensions of the site in the probes of the global group.
const (
	siteZones       = 24
	adapterReplicas = 2
	adapterBytes    = 200 << 20
	editRows        = 500
)

// tableSizes holds table sizes in rows, up to the design size.
var tableSizes = []int{8_000, 16_000, 24_000, 32_000, 45_000, 58_250}

var probeTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	methodDelta   = "Global.Delta"
	methodPropose = "Global.Propose"
)

func globalProbes() []probe {
	rows := tableSizes
	changed := []int{1, 4, 16, 64, 256, 1_024}
	zones := []int{2, 6, 12, 18, 24}
	return []probe{
		{RoleGlobal, "table state, two grants a row", "row", unitBytes, methodHeap, rows, func(size int) float64 {
			return retainedHeap(func() any { return newTable(siteZones, size, adapterReplicas) })
		}},
		{RoleGlobal, "table state, 4,000 rows granted in every zone", "row and zone", unitBytes, methodHeap, scaled(zones, 4_000), func(size int) float64 {
			return retainedHeap(func() any { return newTable(size/4_000, 4_000, siteZones) })
		}},
		{RoleGlobal, "apply of an edit of one row", "row in the table", unitMicros, methodCPU, rows, editCPU},
		{RoleGlobal, "apply of an edit", "changed row", unitMicros, methodCPU, []int{1, 8, 32, 128, 512}, editSizeCPU},
		{RoleGlobal, "log bytes of an edit", "changed row", unitBytes, methodMsgpack, changed, func(size int) float64 {
			return float64(len(must(table.EncodeCommand(editCommand("edit", makeRows(size, adapterReplicas), nil)))))
		}},
		{RoleGlobal, "delta to a zone leader", "changed row", unitBytes, methodGob, changed, deltaBytes},
		{RoleGlobal, "delta made", "changed row", unitMicros, methodCPU, changed, deltaCPU},
		{RoleGlobal, "wish command on the wire", "wished row", unitBytes, methodGob, changed, func(size int) float64 {
			return requestBytes(methodPropose, daemon.ProposeArguments{Command: must(table.EncodeCommand(wishCommand(size)))})
		}},
		{RoleGlobal, "apply of a wish command, nothing new", "wished row", unitMicros, methodCPU, changed, wishCPU},
		{RoleGlobal, "snapshot of the table", "row", unitBytes, methodMsgpack, rows, func(size int) float64 {
			return float64(len(must(newTable(siteZones, size, adapterReplicas).Snapshot())))
		}},
		{RoleGlobal, "snapshot made", "row", unitMicros, methodCPU, rows, func(size int) float64 {
			state := newTable(siteZones, size, adapterReplicas)
			return cpuTime(func() { must(state.Snapshot()) })
		}},
		{RoleGlobal, "snapshot restored", "row", unitMicros, methodCPU, rows, func(size int) float64 {
			data := must(newTable(siteZones, size, adapterReplicas).Snapshot())
			return cpuTime(func() {
				if err := table.New().Restore(data); err != nil {
					panic(err)
				}
			})
		}},
	}
}

func scaled(sizes []int, factor int) []int {
	var products []int
	for _, size := range sizes {
		products = append(products, size*factor)
	}
	return products
}

func rowName(index int) structs.RowName {
	return structs.RowName(fmt.Sprintf("model-%03d/adapter-%05d", index%250, index))
}

func makeRow(index, replicas int) structs.Row {
	return structs.Row{
		Name: rowName(index), Kind: structs.RowModel, Weight: 1 + index%10, Priority: structs.PriorityStandard,
		MaxReplicas: replicas, MemoryBytes: adapterBytes, Role: "answers",
	}
}

func makeRows(count, replicas int) []structs.Row {
	rows := make([]structs.Row, 0, count)
	for index := range count {
		rows = append(rows, makeRow(index, replicas))
	}
	return rows
}

func editCommand(id string, rows []structs.Row, bases map[structs.RowName]uint64) table.Command {
	edit := structs.Edit{ID: structs.EditID(id), Author: "operator"}
	for _, row := range rows {
		edit.Changes = append(edit.Changes, structs.RowChange{Row: row, BaseRevision: bases[row.Name]})
	}
	return table.Command{Edit: &table.EditCommand{Edit: edit, At: probeTime}}
}

func zoneName(index int) structs.ZoneID { return structs.ZoneID(fmt.Sprintf("zone-%02d", index)) }

// newTable returns a state of the global group with the given zones and rows. Commands
// pass through the codec, as those read from a log do.
func newTable(zones, rows, replicas int) *table.State {
	state := table.New()
	for index := range zones {
		applyTable(state, table.Command{Zone: &table.ZoneCommand{Zone: zoneName(index), Weight: 1}})
	}
	for from := 0; from < rows; from += editRows {
		var part []structs.Row
		for index := from; index < min(from+editRows, rows); index++ {
			part = append(part, makeRow(index, replicas))
		}
		applyTable(state, editCommand(fmt.Sprintf("bootstrap-%d", from), part, nil))
	}
	return state
}

func applyTable(state *table.State, command table.Command) table.Result {
	decoded := must(table.DecodeCommand(must(table.EncodeCommand(command))))
	result := state.Apply(decoded)
	if result.Error != nil || (result.Edit != nil && !result.Edit.Accepted) {
		panic(fmt.Sprintf("%+v", result))
	}
	return result
}

// editor generates edits of existing rows.
type editor struct {
	state *table.State
	next  int
}

func (e *editor) edit(rows int) table.Command {
	e.next++
	bases := map[structs.RowName]uint64{}
	var changed []structs.Row
	for index := range rows {
		row, _ := e.state.Row(rowName(index))
		row.Weight = 1 + (row.Weight+1)%table.MaxRowWeight
		bases[row.Name] = row.Revision
		changed = append(changed, row)
	}
	return editCommand(fmt.Sprintf("edit-%d", e.next), changed, bases)
}

func editCPU(rows int) float64 {
	editor := &editor{state: newTable(siteZones, rows, adapterReplicas)}
	const batch = 64
	return batchCPU(batch, func() {
		for range batch {
			applyTable(editor.state, editor.edit(1))
		}
	})
}

func editSizeCPU(changed int) float64 {
	editor := &editor{state: newTable(siteZones, 4_000, adapterReplicas)}
	return cpuTime(func() { applyTable(editor.state, editor.edit(changed)) })
}

func changedTable(changed int) (*table.State, uint64) {
	editor := &editor{state: newTable(siteZones, 4_000, adapterReplicas)}
	since := editor.state.Revision()
	applyTable(editor.state, editor.edit(changed))
	return editor.state, since
}

func deltaBytes(changed int) float64 {
	state, since := changedTable(changed)
	return replyBytes(methodDelta, daemon.DeltaReply{Delta: state.Delta(zoneName(0), since)})
}

func deltaCPU(changed int) float64 {
	state, since := changedTable(changed)
	return cpuTime(func() { state.Delta(zoneName(0), since) })
}

func wishCommand(rows int) table.Command {
	wish := &table.WishCommand{Zone: zoneName(0)}
	for index := range rows {
		wish.Wishes = append(wish.Wishes, structs.GrantWish{Row: rowName(index), Zone: zoneName(0), Wanted: 1})
	}
	return table.Command{Wish: wish}
}

func wishCPU(rows int) float64 {
	state := newTable(siteZones, 4_000, adapterReplicas)
	command := wishCommand(rows)
	applyTable(state, command)
	return cpuTime(func() { applyTable(state, command) })
}
