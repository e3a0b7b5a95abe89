package tablefile

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// optionalColumns are the columns in which an empty cell means no value.
var optionalColumns = []string{columnBase, columnMinReplicas, columnObjective, columnRevision}

// readCSV reads the records of a CSV file with a header line.
func readCSV(data []byte) ([]record, error) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = detectSeparator(data)
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if err == io.EOF {
		return nil, invalid("the file is empty", "Begin it with a header line that names the columns.")
	}
	if err != nil {
		return nil, csvError(err)
	}
	if err := checkHeader(header); err != nil {
		return nil, err
	}
	var records []record
	for {
		cells, err := reader.Read()
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, csvError(err)
		}
		line, _ := reader.FieldPos(0)
		if isBlank(cells) {
			continue
		}
		if len(cells) > len(header) && !isBlank(cells[len(header):]) {
			return nil, invalid(fmt.Sprintf("line %d has more cells than the header has columns", line),
				"Put texts with separators in quotes, or remove the cells.")
		}
		records = append(records, csvRecord(line, header, cells))
	}
}

// detectSeparator returns the separator used by the header line: a comma, or a
// semicolon as written by spreadsheets in locales with a decimal comma.
func detectSeparator(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.IndexByte(header, ',') < 0 && bytes.IndexByte(header, ';') >= 0 {
		return ';'
	}
	return ','
}

func csvError(err error) *structs.Error {
	return invalid("the file is not CSV: "+err.Error(), "Save the table as CSV again.")
}

// checkHeader normalizes the column names in place. It returns an error for unknown,
// repeated and missing columns.
func checkHeader(header []string) error {
	var seen []string
	for i, column := range header {
		header[i] = ColumnName(strings.TrimSpace(column))
		if !slices.Contains(columns, header[i]) {
			return invalid(fmt.Sprintf("the header has the unknown column %q", column),
				"Use only these columns: "+strings.Join(columns, ", ")+".")
		}
		if slices.Contains(seen, header[i]) {
			return invalid(fmt.Sprintf("the header has the column %q twice", column), "Keep one of them.")
		}
		seen = append(seen, header[i])
	}
	for _, column := range requiredColumns {
		if !slices.Contains(seen, column) {
			return invalid(fmt.Sprintf("the header lacks the column %q", column), "Add the column.")
		}
	}
	return nil
}

func isBlank(cells []string) bool {
	for _, cell := range cells {
		if strings.TrimSpace(cell) != "" {
			return false
		}
	}
	return true
}

func csvRecord(line int, header, cells []string) record {
	record := record{line: line}
	for i, column := range header {
		cell := ""
		if i < len(cells) {
			cell = cells[i]
		}
		if cell == "" && slices.Contains(optionalColumns, column) {
			continue
		}
		record.values = append(record.values, value{column: column, text: cell})
	}
	return record
}

func writeCSV(target io.Writer, rows []structs.Row) error {
	writer := csv.NewWriter(target)
	lines := make([][]string, 0, len(rows)+1)
	lines = append(lines, columns)
	for _, row := range rows {
		lines = append(lines, csvCells(row))
	}
	return errors.Wrap(writer.WriteAll(lines), "writing the table as CSV")
}

// csvCells returns the row's cells in the order of columns.
func csvCells(row structs.Row) []string {
	return []string{
		string(row.Name),
		string(row.Kind),
		string(row.Base),
		strconv.Itoa(row.Weight),
		formatPriority(row.Priority),
		strconv.Itoa(row.MinReplicas),
		strconv.Itoa(row.MaxReplicas),
		formatMemory(row.MemoryBytes),
		string(row.Role),
		string(row.Objective),
		strconv.FormatUint(row.Revision, 10),
	}
}
