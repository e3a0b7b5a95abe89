package engineapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// DefaultMaxLine is the default maximum length of an event stream line in bytes.
const DefaultMaxLine = 64 << 10

// readBuffer is the size of a stream's read buffer in bytes.
const readBuffer = 4 << 10

var (
	dataField    = []byte("data:")
	ignoredField = [][]byte{[]byte("event:"), []byte("id:"), []byte("retry:")}
	dataPrefix   = []byte("data: ")
	eventEnd     = []byte("\n\n")
)

// AppendToken appends the token as one server-sent event to buffer.
func AppendToken(buffer []byte, token structs.Token) ([]byte, error) {
	encoded, err := json.Marshal(token)
	if err != nil {
		return buffer, errors.Wrap(err, "encode token")
	}
	buffer = append(buffer, dataPrefix...)
	buffer = append(buffer, encoded...)
	return append(buffer, eventEnd...), nil
}

// TokenDecoder decodes tokens from an event stream. It is stricter than the server-sent
// events specification: an unknown field, an event without data, a token without ID,
// and the end of the stream within an event are errors.
type TokenDecoder struct {
	reader  *bufio.Reader
	maxLine int
	// line and data are reused between events.
	line []byte
	data []byte
	// jsonDecoder decodes the data of each event from source. Both are reused to avoid
	// allocations. inputBytes is the total number of bytes passed to source.
	jsonDecoder *json.Decoder
	source      bytes.Reader
	inputBytes  int64
	token       structs.Token
}

// NewTokenDecoder returns a decoder that reads from reader. Lines and events are
// limited to maxLine bytes, or to DefaultMaxLine if maxLine is not positive.
func NewTokenDecoder(reader io.Reader, maxLine int) *TokenDecoder {
	if maxLine <= 0 {
		maxLine = DefaultMaxLine
	}
	d := &TokenDecoder{reader: bufio.NewReaderSize(reader, readBuffer), maxLine: maxLine}
	d.jsonDecoder = json.NewDecoder(&d.source)
	return d
}

// Next returns the next token, or io.EOF at the end of the stream. The decoder must not
// be used after an error.
func (d *TokenDecoder) Next() (structs.Token, error) {
	d.data = d.data[:0]
	pending := false
	for {
		line, err := d.readLine()
		if err == io.EOF && !pending && len(line) == 0 {
			return structs.Token{}, io.EOF
		}
		if err == io.EOF {
			return structs.Token{}, malformed("the event stream ended within an event")
		}
		if err != nil {
			return structs.Token{}, err
		}
		if len(line) == 0 {
			if !pending {
				continue
			}
			return d.decodeToken()
		}
		found, err := d.parseLine(line, pending)
		if err != nil {
			return structs.Token{}, err
		}
		pending = pending || found
	}
}

// parseLine parses one line of an event and reports whether it contained data.
func (d *TokenDecoder) parseLine(line []byte, pending bool) (bool, error) {
	if line[0] == ':' {
		return false, nil
	}
	if !bytes.HasPrefix(line, dataField) {
		for _, field := range ignoredField {
			if bytes.HasPrefix(line, field) {
				return false, nil
			}
		}
		return false, malformed("the event stream has an unknown field")
	}
	value := line[len(dataField):]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	if len(d.data)+len(value) > d.maxLine {
		return false, malformed("an event of the stream is too long")
	}
	if pending {
		d.data = append(d.data, '\n')
	}
	d.data = append(d.data, value...)
	return true, nil
}

// readLine returns the next line without its line terminator. The line is valid until
// the next call.
func (d *TokenDecoder) readLine() ([]byte, error) {
	fragment, err := d.reader.ReadSlice('\n')
	if err == nil && len(fragment) <= d.maxLine {
		return trimLineEnd(fragment), nil
	}
	d.line = append(d.line[:0], fragment...)
	for err == bufio.ErrBufferFull && len(d.line) <= d.maxLine {
		fragment, err = d.reader.ReadSlice('\n')
		d.line = append(d.line, fragment...)
	}
	if len(d.line) > d.maxLine {
		return nil, malformed("a line of the event stream is too long")
	}
	return trimLineEnd(d.line), err
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// decodeToken decodes the data of an event, which must be a single JSON value.
func (d *TokenDecoder) decodeToken() (structs.Token, error) {
	data := bytes.TrimSpace(d.data)
	d.source.Reset(data)
	d.inputBytes += int64(len(data))
	d.token = structs.Token{}
	if err := d.jsonDecoder.Decode(&d.token); err != nil {
		return structs.Token{}, errors.Wrap(err, "decode token")
	}
	if d.jsonDecoder.InputOffset() != d.inputBytes {
		return structs.Token{}, malformed("an event of the stream has more than one value")
	}
	if d.token.ID == "" || d.token.Index < 0 {
		return structs.Token{}, malformed("a token of the stream has no ID or a negative index")
	}
	switch d.token.Finish {
	case "", structs.FinishStop, structs.FinishLength, structs.FinishCancelled, structs.FinishError:
		return d.token, nil
	}
	return structs.Token{}, malformed("a token of the stream has an unknown finish reason")
}
