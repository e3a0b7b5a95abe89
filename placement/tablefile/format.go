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

// The formats.
const (
	FormatCSV  Format = "csv"
	FormatYAML Format = "yaml"
	FormatJSON Format = "json"
)

// MaxFileBytes is the size of the largest file that Decode reads.
const MaxFileBytes = 64 << 20

// FormatOf tells the format by the file name's extension.
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

// Decode reads a table. It returns the rows in the order of the file, the values
// that could not be read, and an ErrorInvalid when the file as a whole could not
// be. When there are problems, the rows named in them are not to be used.
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

// Encode writes rows so that Decode reads them back unchanged, revisions
// included.
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

// byteOrderMark begins files of some spreadsheets.
const byteOrderMark = "\uFEFF"

func unknownFormat(format Format) *structs.Error {
	return invalid(fmt.Sprintf("the format %q is not known", format), "Use csv, yaml or json.")
}

func invalid(message, remedy string) *structs.Error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}
