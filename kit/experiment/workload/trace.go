package workload

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// traceHeader lists the CSV columns of a trace.
var traceHeader = []string{
	"at_seconds", "zone", "router", "row", "class", "priority", "prompt_tokens", "output_tokens", "deadline_seconds",
}

// maxTraceSeconds is the largest time accepted in a trace, one leap year.
const maxTraceSeconds = 366 * 24 * 3600

// WriteTrace writes arrivals to w as CSV with a header line. Times are in seconds.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(traceHeader); err != nil {
		return errors.Wrap(err, "write the trace")
	}
	for _, a := range arrivals {
		record := []string{
			formatSeconds(a.At), string(a.Zone), strconv.Itoa(a.Router), string(a.Row), string(a.Class),
			strconv.Itoa(int(a.Priority)), strconv.Itoa(a.PromptTokens), strconv.Itoa(a.OutputTokens), formatSeconds(a.Deadline),
		}
		if err := writer.Write(record); err != nil {
			return errors.Wrap(err, "write the trace")
		}
	}
	writer.Flush()
	return errors.Wrap(writer.Error(), "write the trace")
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// ReadTrace reads a trace in the format of WriteTrace and returns its arrivals
// sorted. A record that is malformed or names a zone, router or row that is not in
// shape gives an error of kind structs.ErrorInvalid with the line number.
func ReadTrace(r io.Reader, shape Shape) ([]Arrival, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(traceHeader)
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, traceHeader) {
		return nil, newTraceError(1, "the header is not as expected")
	}
	parser := newTraceParser(shape)
	var arrivals []Arrival
	for {
		record, err := reader.Read()
		if err == io.EOF {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			return nil, newTraceError(line, err.Error())
		}
		arrival, problem := parser.parse(record)
		if problem != "" {
			return nil, newTraceError(line, problem)
		}
		arrivals = append(arrivals, arrival)
	}
	Sort(arrivals)
	return arrivals, nil
}

func newTraceError(line int, problem string) error {
	return structs.NewError(structs.ErrorInvalid, fmt.Sprintf("line %d of the trace: %s", line, problem),
		"Correct the line, or record the trace again.")
}

type traceParser struct {
	shape Shape
	rows  map[structs.RowName]bool
}

func newTraceParser(shape Shape) traceParser {
	p := traceParser{shape: shape, rows: map[structs.RowName]bool{}}
	for _, row := range shape.Rows {
		p.rows[row.Name] = true
	}
	return p
}

// parse returns the arrival in a record, or a description of the problem if the
// record is invalid.
func (p traceParser) parse(record []string) (Arrival, string) {
	a := Arrival{Zone: structs.ZoneID(record[1]), Row: structs.RowName(record[3]), Class: Class(record[4])}
	var ok [6]bool
	var priority int
	a.At, ok[0] = parseSeconds(record[0])
	a.Router, ok[1] = parseCount(record[2], p.shape.RoutersPerZone-1)
	priority, ok[2] = parseCount(record[5], structs.PriorityCount-1)
	a.PromptTokens, ok[3] = parseCount(record[6], math.MaxInt32)
	a.OutputTokens, ok[4] = parseCount(record[7], math.MaxInt32)
	a.Deadline, ok[5] = parseSeconds(record[8])
	a.Priority = structs.Priority(priority)
	for i, column := range []int{0, 2, 5, 6, 7, 8} {
		if !ok[i] {
			return a, fmt.Sprintf("%s is %q", traceHeader[column], record[column])
		}
	}
	if !slices.Contains(p.shape.Zones, a.Zone) {
		return a, fmt.Sprintf("the site has no zone %q", a.Zone)
	}
	if !p.rows[a.Row] {
		return a, fmt.Sprintf("the site has no row %q", a.Row)
	}
	return a, ""
}

func parseSeconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxTraceSeconds) {
		return 0, false
	}
	return time.Duration(math.Round(value * float64(time.Second))), true
}

func parseCount(text string, maxCount int) (int, bool) {
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= 0 && value <= maxCount
}
