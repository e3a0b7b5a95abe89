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

// traceHeader names the columns of a recorded trace. Times are in seconds.
var traceHeader = []string{
	"at_seconds", "zone", "router", "row", "class", "priority", "prompt_tokens", "output_tokens", "deadline_seconds",
}

// maxTraceSeconds bounds the times of a trace to a year.
const maxTraceSeconds = 366 * 24 * 3600

// WriteTrace writes arrivals as CSV with a header line.
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

// ReadTrace reads what WriteTrace wrote, for a site of the shape, and orders it.
// A record that is malformed or names a zone, router or row that the site lacks
// is refused with structs.ErrorInvalid and its line.
func ReadTrace(r io.Reader, shape Shape) ([]Arrival, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(traceHeader)
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, traceHeader) {
		return nil, badTrace(1, "the header is not as expected")
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
			return nil, badTrace(line, err.Error())
		}
		arrival, problem := parser.parse(record)
		if problem != "" {
			return nil, badTrace(line, problem)
		}
		arrivals = append(arrivals, arrival)
	}
	Sort(arrivals)
	return arrivals, nil
}

func badTrace(line int, problem string) error {
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

// parse returns the arrival of a record, or what is wrong with it.
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

func parseCount(text string, most int) (int, bool) {
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= 0 && value <= most
}
