package explain

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 64 << 10

// Field is one field of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	Component string    `json:"component,omitempty"`
	Message   string    `json:"message"`
	// Fields are the others, in their order.
	Fields []Field `json:"fields,omitempty"`
}

// Get returns the value of a field, or "".
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// duration returns the value of a field as a duration, or 0.
func (l *Line) duration(key string) time.Duration {
	value, err := time.ParseDuration(l.Get(key))
	if err != nil {
		return 0
	}
	return value
}

// String returns the line without its time.
func (l *Line) String() string {
	var text strings.Builder
	text.WriteString(l.Node + " " + l.Message)
	for _, field := range l.Fields {
		if field.Value == "" {
			continue
		}
		value := field.Value
		if strings.ContainsAny(value, " \"=") {
			value = strconv.Quote(value)
		}
		text.WriteString(" " + field.Key + "=" + value)
	}
	return text.String()
}

// Stats counts what was read.
type Stats struct {
	Lines int `json:"lines"`
	// Foreign lines are torn or no lines of this product, TooLong ones were not looked at.
	Foreign int `json:"foreign"`
	TooLong int `json:"too_long"`
}

// Add adds the counts of another log.
func (s *Stats) Add(other Stats) {
	s.Lines += other.Lines
	s.Foreign += other.Foreign
	s.TooLong += other.TooLong
}

// Read reads a log. What is not a line of this product is passed over and counted; what
// stands before the first field, as some collectors write it, is passed over too.
func Read(log io.Reader) ([]Line, Stats, error) {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	var lines []Line
	var stats Stats
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			stats.TooLong++
			err = skipLine(reader)
			text = nil
		}
		if len(bytes.TrimSpace(text)) > 0 {
			if line, isOwn := parse(text); isOwn {
				stats.Lines++
				lines = append(lines, line)
			} else {
				stats.Foreign++
			}
		}
		if errors.Is(err, io.EOF) {
			return lines, stats, nil
		}
		if err != nil {
			return lines, stats, errors.Wrap(err, "read log")
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// firstKeys are the fields that a line may begin with.
var firstKeys = [][]byte{[]byte("level="), []byte("ts=")}

func parse(text []byte) (Line, bool) {
	begin := len(text)
	for _, key := range firstKeys {
		if at := bytes.Index(text, key); at >= 0 {
			begin = min(begin, at)
		}
	}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[begin:]))
	var line Line
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "level":
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = at
		case "node":
			line.Node = value
		case "component":
			line.Component = value
		case "msg":
			line.Message = value
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, decoder.Err() == nil && line.Message != "" && !line.Time.IsZero()
}
