package tablefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// readJSON reads the records of one JSON object. It goes by tokens, so that a
// repeated or unknown key is seen.
func readJSON(data []byte) ([]record, error) {
	if !json.Valid(data) {
		return nil, jsonError(syntaxOf(data))
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

func syntaxOf(data []byte) string {
	var discarded json.RawMessage
	if err := json.Unmarshal(data, &discarded); err != nil {
		return err.Error()
	}
	return "it has a syntax error"
}

// jsonReader reads tokens; the first error sticks.
type jsonReader struct {
	decoder *json.Decoder
	data    []byte
	err     error
	// line and counted are the line at the offset counted.
	line    int
	counted int64
}

func (r *jsonReader) fail(reason string) {
	if r.err == nil {
		r.err = jsonError(reason)
	}
}

// token returns the next token, nil after an error.
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

// lineNow returns the line of the last token, from 1 on.
func (r *jsonReader) lineNow() int {
	offset := r.decoder.InputOffset()
	r.line += bytes.Count(r.data[r.counted:offset], []byte("\n"))
	r.counted = offset
	return r.line + 1
}

func (r *jsonReader) record() record {
	r.expect(json.Delim('{'), fmt.Sprintf("the row after line %d is not an object", r.lineNow()))
	record := record{line: r.lineNow()}
	for r.more() {
		column, _ := r.token().(string)
		record.values = append(record.values, r.value(column))
	}
	r.expect(json.Delim('}'), "a row does not end")
	return record
}

// value reads a value whole; lists, objects, true, false and null are no values.
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
	return errors.Wrap(encoder.Encode(document{Rows: emptyNotNil(rows)}), "writing the table as JSON")
}
