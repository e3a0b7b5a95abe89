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

// maxLineBytes is the maximum length of a line. Longer lines are skipped.
const maxLineBytes = 64 << 10

// Field is a key-value pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a parsed log line.
type Line struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	Component string    `json:"component,omitempty"`
	Message   string    `json:"message"`
	// Fields are the remaining fields in order.
	Fields []Field `json:"fields,omitempty"`
}

// Get returns the value of a field, or "" if there is none.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// durationField returns the value of a field as a duration, or 0 if it is not valid.
func (l *Line) durationField(key string) time.Duration {
	value, err := time.ParseDuration(l.Get(key))
	if err != nil {
		return 0
	}
	return value
}

// String returns the line without time and component.
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

// Stats counts the lines of logs.
type Stats struct {
	Lines int `json:"lines"`
	// Foreign counts truncated lines and lines of other programs, TooLong the skipped
	// lines above the maximum length.
	Foreign int `json:"foreign"`
	TooLong int `json:"too_long"`
}

// Add adds the counts of another log.
func (s *Stats) Add(other Stats) {
	s.Lines += other.Lines
	s.Foreign += other.Foreign
	s.TooLong += other.TooLong
}

// Read parses the lines of a log. Lines of other programs are skipped and counted. Text
// before the first field, as added by some log collectors, is ignored.
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
			if line, isValid := parse(text); isValid {
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

// initialKeys are the possible first keys of a line.
var initialKeys = [][]byte{[]byte("level="), []byte("ts=")}

func parse(text []byte) (Line, bool) {
	begin := len(text)
	for _, key := range initialKeys {
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
