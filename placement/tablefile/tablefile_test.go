package tablefile

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

var formats = []Format{FormatCSV, FormatYAML, FormatJSON}

func sampleRows() []structs.Row {
	return []structs.Row{
		{Name: "model-1", Kind: structs.RowModel, Weight: 10, Priority: structs.PriorityLive, MinReplicas: 1, MaxReplicas: 4,
			MemoryBytes: 24 << 30, Role: "answers", Objective: structs.ObjectiveLatency, Revision: 1<<64 - 1},
		{Name: "1.10", Kind: structs.RowAdapter, Base: "model-1", Weight: 1, MaxReplicas: 10_000, MemoryBytes: 1<<30 + 1, Role: "true"},
		{Name: "~", Kind: structs.RowVersion, Base: "null", Weight: 1000, Priority: structs.PriorityStandard, MemoryBytes: 5 << 20,
			Role: "=1+é;&<#:", Objective: structs.ObjectiveIdle, Revision: 7},
	}
}

func encode(t testing.TB, format Format, rows []structs.Row) []byte {
	var buffer bytes.Buffer
	qt.Assert(t, Encode(format, &buffer, rows), qt.IsNil)
	return buffer.Bytes()
}

func TestRowsRoundTrip(t *testing.T) {
	for _, format := range formats {
		for _, rows := range [][]structs.Row{sampleRows(), nil} {
			decoded, problems, err := Decode(format, bytes.NewReader(encode(t, format, rows)))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, problems, qt.HasLen, 0)
			qt.Assert(t, decoded, qt.DeepEquals, rows)
		}
	}
}

func TestDecodeCommonFiles(t *testing.T) {
	want := []structs.Row{{Name: "m", Kind: structs.RowModel, Weight: 2, Priority: structs.PriorityLive,
		MaxReplicas: 3, MemoryBytes: 24 << 30, Role: "answers"}}
	tests := []struct {
		about  string
		format Format
		file   string
	}{
		{"spreadsheet", FormatCSV, "\uFEFFrole,memory,name,kind,weight,priority,max_replicas\r\nanswers,24GiB,m,model,2,live,3\r\n,,,,,,\r\n"},
		{"semicolons", FormatCSV, "name;kind;base;weight;priority;min_replicas;max_replicas;memory;role;revision\nm;model;;2;2;;3;25769803776;answers;\n"},
		{"missing trailing cells", FormatCSV, "name,kind,weight,priority,max_replicas,memory_bytes,role,objective\nm,model,2,live,3,24 GiB,answers\n"},
		{"YAML", FormatYAML, "rows:\n- {name: m, kind: model, weight: 2, priority: live, max_replicas: 3, memory: 24GiB, role: answers}\n"},
		{"JSON", FormatJSON, `{"rows":[{"name":"m","kind":"model","weight":2,"priority":2,"max_replicas":3,"memory_bytes":25769803776,"role":"answers"}]}`},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			rows, problems, err := Decode(test.format, strings.NewReader(test.file))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, problems, qt.HasLen, 0)
			qt.Assert(t, rows, qt.DeepEquals, want)
		})
	}
}

func TestDecodeRejectsInvalidFiles(t *testing.T) {
	const header = "name,kind,weight,priority,max_replicas,memory,role"
	tests := []struct {
		about  string
		format Format
		file   string
		want   string
	}{
		{"empty CSV", FormatCSV, "", ".*file is empty.*"},
		{"unknown column", FormatCSV, header + ",colour\n", `.*unknown column "colour".*`},
		{"column twice", FormatCSV, header + ",name\n", ".*twice.*"},
		{"alias twice", FormatCSV, header + ",memory_bytes\n", ".*twice.*"},
		{"column missing", FormatCSV, "name,kind\n", ".*lacks the column.*"},
		{"too many cells", FormatCSV, header + "\nm,model,1,1,1,1,answers,more\n", ".*line 2 has more cells.*"},
		{"bare quote", FormatCSV, header + "\nm\"x,model\n", ".*not CSV.*"},
		{"YAML list", FormatYAML, "- a\n", ".*not a mapping.*"},
		{"YAML other key", FormatYAML, "rows: []\nmore: 1\n", ".*one key.*"},
		{"YAML rows not a list", FormatYAML, "rows: 3\n", ".*not a list.*"},
		{"YAML row not a mapping", FormatYAML, "rows: [3]\n", ".*line 1 is not a mapping.*"},
		{"YAML two documents", FormatYAML, "rows: []\n---\nrows: []\n", ".*more than one document.*"},
		{"YAML broken", FormatYAML, "rows: [", ".*not a table in YAML.*"},
		{"JSON broken", FormatJSON, "{", ".*not a table in JSON.*"},
		{"JSON list", FormatJSON, "[]", ".*not an object.*"},
		{"JSON other key", FormatJSON, `{"lines":[]}`, ".*one key.*"},
		{"JSON second key", FormatJSON, `{"rows":[],"rows":[]}`, ".*one key.*"},
		{"JSON rows not a list", FormatJSON, `{"rows":{}}`, ".*not a list.*"},
		{"JSON row not an object", FormatJSON, `{"rows":[1]}`, ".*not an object.*"},
		{"JSON trailing", FormatJSON, `{"rows":[]} 1`, ".*not a table in JSON.*"},
		{"unknown format", "xls", "", ".*not known.*"},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			_, _, err := Decode(test.format, strings.NewReader(test.file))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
		})
	}
}

// Inserts each value unquoted into an otherwise valid row of each format.
func TestDecodeReportsInvalidValues(t *testing.T) {
	tests := []struct{ column, csv, yaml, json string }{
		{"weight", "heavy", "heavy", `"heavy"`},
		{"weight", "1.5", "'1'", `"1"`},
		{"weight", "", "null", "null"},
		{"weight", "99999999999999999999", "[1]", "1e3"},
		{"priority", "urgent", "urgent", `"urgent"`},
		{"priority", "", "{}", "true"},
		{"memory", "24GB", "24GB", `"24GB"`},
		{"memory", "9223372036854775807KiB", "~", "null"},
		{"revision", "-1", "-1", "-1"},
	}
	for _, test := range tests {
		values := map[Format]string{FormatCSV: test.csv, FormatYAML: test.yaml, FormatJSON: test.json}
		for _, format := range formats {
			t.Run(fmt.Sprintf("%s %s %s", format, test.column, values[format]), func(t *testing.T) {
				file := fileWith(format, test.column, values[format])
				rows, problems, err := Decode(format, strings.NewReader(file))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, rows, qt.HasLen, 0)
				qt.Assert(t, problems, qt.HasLen, 1, qt.Commentf("%v", problems))
				qt.Assert(t, problems[0].Row, qt.Equals, structs.RowName("m"))
				qt.Assert(t, problems[0].Column, qt.Equals, test.column)
				qt.Assert(t, problems[0].Remedy, qt.Not(qt.Equals), "")
			})
		}
	}
}

// fileWith returns a file of one row with the given value in a column.
func fileWith(format Format, column, text string) string {
	values := map[string]string{columnName: "m", columnKind: "model", columnWeight: "1", columnPriority: "1",
		columnMaxReplicas: "1", columnMemory: "1", columnRole: "answers", columnRevision: "1"}
	values[column] = text
	var header, cells, yamlLines, jsonFields []string
	for _, name := range columns {
		text, isGiven := values[name]
		if !isGiven {
			continue
		}
		header = append(header, name)
		cells = append(cells, text)
		yamlLines = append(yamlLines, name+": "+text)
		if name == columnName || name == columnKind || name == columnRole {
			text = `"` + text + `"`
		}
		jsonFields = append(jsonFields, `"`+name+`": `+text)
	}
	switch format {
	case FormatCSV:
		return strings.Join(header, ",") + "\n" + strings.Join(cells, ",") + "\n"
	case FormatYAML:
		return "rows:\n- " + strings.Join(yamlLines, "\n  ") + "\n"
	default:
		return `{"rows": [{` + strings.Join(jsonFields, ", ") + `}]}`
	}
}

func TestDecodeReportsUnknownAndRepeatedNames(t *testing.T) {
	tests := []struct {
		about   string
		format  Format
		file    string
		problem string
	}{
		{"YAML unknown key", FormatYAML, fileWith(FormatYAML, columnRevision, "1\n  colour: red"), "is not a column of the table"},
		{"YAML key twice", FormatYAML, fileWith(FormatYAML, columnRevision, "1\n  weight: 2"), "is given twice"},
		{"JSON unknown key", FormatJSON, fileWith(FormatJSON, columnRevision, `1, "Name": "n"`), "is not a column of the table"},
		{"JSON key twice", FormatJSON, fileWith(FormatJSON, columnRevision, `1, "weight": 2`), "is given twice"},
		{"JSON number as name", FormatJSON, fileWith(FormatJSON, columnRevision, `1, "base": 2`), "is not a text"},
		{"name twice", FormatCSV, fileWith(FormatCSV, columnName, "m") + "m,model,1,1,1,1,answers,1\n", "is also the name of the row at line 2"},
		{"no name", FormatYAML, "rows: [{kind: model, weight: 1, priority: 1, max_replicas: 1, memory: 1, role: a}]", "is missing (line 1)"},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			_, problems, err := Decode(test.format, strings.NewReader(test.file))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, problems, qt.HasLen, 1, qt.Commentf("%v", problems))
			qt.Assert(t, problems[0].Problem, qt.Equals, test.problem)
		})
	}
}

func TestDiff(t *testing.T) {
	row := func(name string, weight int, revision uint64) structs.Row {
		return structs.Row{Name: structs.RowName(name), Weight: weight, Revision: revision}
	}
	current := []structs.Row{row("z", 1, 5), row("same", 1, 6), row("changed", 1, 7), row("stale", 1, 8), row("a", 1, 9)}
	wanted := []structs.Row{row("new", 1, 0), row("same", 1, 2), row("changed", 2, 0), row("stale", 2, 3), row("gone", 1, 4)}
	edits := []structs.RowChange{
		{Row: wanted[0]},
		{Row: wanted[2], BaseRevision: 7},
		{Row: wanted[3], BaseRevision: 3},
		{Row: wanted[4], BaseRevision: 4},
	}
	qt.Assert(t, Diff(current, wanted, false), qt.DeepEquals, edits)
	edits = append(edits,
		structs.RowChange{Row: structs.Row{Name: "a"}, Delete: true, BaseRevision: 9},
		structs.RowChange{Row: structs.Row{Name: "z"}, Delete: true, BaseRevision: 5})
	qt.Assert(t, Diff(current, wanted, true), qt.DeepEquals, edits)
	qt.Assert(t, Diff(current, current, true), qt.HasLen, 0)
}

func TestFormatOfFileName(t *testing.T) {
	for name, want := range map[string]Format{"a.CSV": FormatCSV, "a.yml": FormatYAML, "b.yaml": FormatYAML, "c.json": FormatJSON} {
		format, err := FormatOf(name)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, format, qt.Equals, want)
	}
	_, err := FormatOf("table.xlsx")
	qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
}

// fuzzFormat checks that valid rows decoded from any input round-trip in all formats.
func fuzzFormat(f *testing.F, format Format) {
	f.Add(encode(f, format, sampleRows()))
	f.Add([]byte(fileWith(format, columnMemory, "24GiB")))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, problems, err := Decode(format, bytes.NewReader(data))
		if err != nil || len(problems) > 0 || !isValid(rows) {
			return
		}
		for _, other := range formats {
			again, problems, err := Decode(other, bytes.NewReader(encode(t, other, rows)))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, problems, qt.HasLen, 0)
			qt.Assert(t, again, qt.DeepEquals, rows)
		}
	})
}

// isValid reports whether the rows and the names of their bases are valid.
func isValid(rows []structs.Row) bool {
	noBase := func(structs.RowName) (structs.Row, bool) { return structs.Row{}, false }
	hasBase := func(name structs.RowName) (structs.Row, bool) {
		model := structs.Row{Name: name, Kind: structs.RowModel, Weight: 1, MemoryBytes: 1, Role: "answers"}
		return model, len(table.ValidateRow(model, noBase)) == 0
	}
	for _, row := range rows {
		if len(table.ValidateRow(row, hasBase)) > 0 {
			return false
		}
	}
	return true
}

func FuzzCSV(f *testing.F)  { fuzzFormat(f, FormatCSV) }
func FuzzYAML(f *testing.F) { fuzzFormat(f, FormatYAML) }
func FuzzJSON(f *testing.F) { fuzzFormat(f, FormatJSON) }
