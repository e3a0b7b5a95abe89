package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	methodTable   = "Global.Table"
	tableRevision = 1 << 20
)

func operatorProbes() []probe {
	changed := []int{1, 4, 16, 64, 256}
	return []probe{
		{RoleOperator, "whole table read from the global group", "row", unitBytes, methodGob, tableSizes, func(size int) float64 {
			return replyBytes(methodTable, daemon.TableReply{Revision: tableRevision, Rows: revisedRows(size)})
		}},
		{RoleOperator, "whole table to an operator", "row", unitBytes, methodJSON, tableSizes, func(size int) float64 {
			return jsonBytes(tableView(size))
		}},
		{RoleOperator, "whole table encoded for an operator", "row", unitMicros, methodCPU, tableSizes, func(size int) float64 {
			view := tableView(size)
			return cpuTime(func() { must(json.Marshal(view)) })
		}},
		{RoleOperator, "edit sent to the global group, with its result", "changed row", unitBytes, methodGob, changed, editBytes},
		{RoleOperator, "changes to an operator who watches", "changed row", unitBytes, methodJSON, changed, func(size int) float64 {
			return jsonBytes(operatorapi.TableChanges{Since: tableRevision - 1, Revision: tableRevision, Rows: revisedRows(size)})
		}},
	}
}

// revisedRows returns rows with the large revision numbers of a much-edited table.
func revisedRows(count int) []structs.Row {
	rows := makeRows(count, adapterReplicas)
	for index := range rows {
		rows[index].Revision = uint64(tableRevision - index)
	}
	return rows
}

func tableView(rows int) operatorapi.TableView {
	return operatorapi.TableView{Revision: tableRevision, Rows: revisedRows(rows)}
}

// editBytes returns the encoded size of an edit proposed by the gateway and of the
// reply of the global group.
func editBytes(changed int) float64 {
	state := newTable(siteZones, max(changed, 1), adapterReplicas)
	editor := &editor{state: state}
	command := editor.edit(changed)
	result := applyTable(state, command)
	if result.Edit == nil {
		panic(fmt.Sprintf("no result of edit: %+v", result))
	}
	request := daemon.ProposeArguments{Command: must(table.EncodeCommand(command))}
	return requestBytes(methodPropose, request) + replyBytes(methodPropose, daemon.GlobalReply{Result: result})
}
