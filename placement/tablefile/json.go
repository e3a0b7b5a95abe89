package tablefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// readJSON reads the records of one JSON object. It reads tokens, so that repeated and
// unknown keys are detected.
func readJSON(data []byte) ([]record, error) {
	if !json.Valid(data) {
		return nil, jsonError(syntaxErrorText(data))
	}
	reader := jsonReader{decoder: json.NewDecoder(bytes.NewReader(data)), data: data}
	reader.decoder.UseNumber()
	reader.expect(json.Delim('{'), "it is not an object")
	reader.expect(rowsKey, "rows is not its one key")
	reader.expect(json.Delim('['), "rows is not a list")
	var records []record
	for reader.more() {
		records = append(records, reader.record())
	}
	reader.expect(json.Delim(']'), "rows is not a list")
	reader.expect(json.Delim('}'), "rows is not its one key")
	if reader.err != nil {
		return nil, reader.err
	}
	return records, nil
}

func jsonError(reason string) *structs.Error {
	return invalid("the file is not a table in JSON: "+reason, "Write one object with a list of rows under the key rows.")
}

func syntaxErrorText(data []byte) string {
	var discarded json.RawMessage
	if err := json.Unmarshal(data, &discarded); err != nil {
		return err.Error()
	}
	return "it has a syntax error"
}

// jsonReader reads tokens and keeps the first error.
type jsonReader struct {
	decoder *json.Decoder
	data    []byte
	err     error
	// line is the line number at lineOffset, from 0 on.
	line       int
	lineOffset int64
}

func (r *jsonReader) fail(reason string) {
	if r.err == nil {
		r.err = jsonError(reason)
	}
}

// token returns the next token, or nil after an error.
func (r *jsonReader) token() json.Token {
	if r.err != nil {
		return nil
	}
	token, err := r.decoder.Token()
	if err != nil {
		r.fail(err.Error())
		return nil
	}
	return token
}

func (r *jsonReader) expect(wanted json.Token, reason string) {
	if token := r.token(); token != wanted {
		r.fail(reason)
	}
}

func (r *jsonReader) more() bool { return r.err == nil && r.decoder.More() }

// currentLine returns the line number of the last token, from 1 on.
func (r *jsonReader) currentLine() int {
	offset := r.decoder.InputOffset()
	r.line += bytes.Count(r.data[r.lineOffset:offset], []byte("\n"))
	r.lineOffset = offset
	return r.line + 1
}

func (r *jsonReader) record() record {
	r.expect(json.Delim('{'), fmt.Sprintf("the row after line %d is not an object", r.currentLine()))
	record := record{line: r.currentLine()}
	for r.more() {
		column, _ := r.token().(string)
		record.values = append(record.values, r.value(column))
	}
	r.expect(json.Delim('}'), "a row does not end")
	return record
}

// value reads a value. Lists, objects, true, false and null have kind valueOther.
func (r *jsonReader) value(column string) value {
	var raw json.RawMessage
	if r.err == nil {
		if err := r.decoder.Decode(&raw); err != nil {
			r.fail(err.Error())
		}
	}
	var text string
	var number json.Number
	switch {
	case len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &text) == nil:
		return value{column: column, text: text, kind: valueText}
	case !bytes.Equal(raw, []byte("null")) && json.Unmarshal(raw, &number) == nil:
		return value{column: column, text: number.String(), kind: valueNumber}
	default:
		return value{column: column, text: string(raw), kind: valueOther}
	}
}

func writeJSON(target io.Writer, rows []structs.Row) error {
	encoder := json.NewEncoder(target)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(document{Rows: nonNilRows(rows)}), "writing the table as JSON")
}
