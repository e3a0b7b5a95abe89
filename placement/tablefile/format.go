package tablefile

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// Format names a file format.
type Format string

// Supported formats.
const (
	FormatCSV  Format = "csv"
	FormatYAML Format = "yaml"
	FormatJSON Format = "json"
)

// MaxFileBytes is the maximum size of a file that Decode reads.
const MaxFileBytes = 64 << 20

// FormatOf returns the format for the extension of the file name.
func FormatOf(fileName string) (Format, error) {
	switch strings.ToLower(filepath.Ext(fileName)) {
	case ".csv":
		return FormatCSV, nil
	case ".yaml", ".yml":
		return FormatYAML, nil
	case ".json":
		return FormatJSON, nil
	}
	return "", invalid(fmt.Sprintf("the format of %q is not known", fileName), "Name the file .csv, .yaml or .json.")
}

// Decode reads a table. It returns the readable rows in file order and the problems of
// invalid values. Rows named in a problem must not be used. It returns ErrorInvalid if
// the file as a whole is not a table.
func Decode(format Format, source io.Reader) ([]structs.Row, []structs.RowProblem, error) {
	data, err := io.ReadAll(io.LimitReader(source, MaxFileBytes+1))
	if err != nil {
		return nil, nil, structs.NewError(structs.ErrorUnavailable, "reading the table: "+err.Error(), "Check the file and try again.")
	}
	if len(data) > MaxFileBytes {
		return nil, nil, invalid("the file is too large", fmt.Sprintf("Use a file of at most %d bytes.", MaxFileBytes))
	}
	data = []byte(strings.TrimPrefix(string(data), byteOrderMark))
	var records []record
	switch format {
	case FormatCSV:
		records, err = readCSV(data)
	case FormatYAML:
		records, err = readYAML(data)
	case FormatJSON:
		records, err = readJSON(data)
	default:
		err = unknownFormat(format)
	}
	if err != nil {
		return nil, nil, err
	}
	rows, problems := buildRows(records)
	return rows, problems, nil
}

// Encode writes rows so that Decode returns them unchanged, including revisions.
func Encode(format Format, target io.Writer, rows []structs.Row) error {
	switch format {
	case FormatCSV:
		return writeCSV(target, rows)
	case FormatYAML:
		return writeYAML(target, rows)
	case FormatJSON:
		return writeJSON(target, rows)
	}
	return unknownFormat(format)
}

// byteOrderMark is written at the start of files by some spreadsheets.
const byteOrderMark = "\uFEFF"

func unknownFormat(format Format) *structs.Error {
	return invalid(fmt.Sprintf("the format %q is not known", format), "Use csv, yaml or json.")
}

func invalid(message, remedy string) *structs.Error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}
