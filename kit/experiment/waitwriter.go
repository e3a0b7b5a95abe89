package experiment

import (
	"encoding/csv"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WaitWriter writes waits as CSV with one row per wait and one column per cause, in
// seconds. It is safe for concurrent use.
type WaitWriter struct {
	mutex  sync.Mutex
	writer *csv.Writer
}

// NewWaitWriter returns a WaitWriter that writes to w, and writes the header.
func NewWaitWriter(w io.Writer) (*WaitWriter, error) {
	writer := &WaitWriter{writer: csv.NewWriter(w)}
	header := []string{"at_seconds", "zone", "served", "row", "class", "refused", "total_seconds"}
	for _, cause := range WaitCauses() {
		header = append(header, string(cause))
	}
	return writer, errors.Wrap(writer.writer.Write(header), "write the waits")
}

// Write writes one wait. Flush returns its error, if any.
func (w *WaitWriter) Write(wait Wait) {
	record := []string{
		seconds(wait.Arrival.At), string(wait.Arrival.Zone), string(wait.Served), string(wait.Arrival.Row),
		string(wait.Arrival.Class), strconv.FormatBool(wait.Refused), seconds(wait.Total),
	}
	for _, cause := range WaitCauses() {
		record = append(record, seconds(wait.Causes[cause]))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_ = w.writer.Write(record) // csv.Writer keeps the error
}

// Flush writes any buffered data and returns the first error of all writes.
func (w *WaitWriter) Flush() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writer.Flush()
	return errors.Wrap(w.writer.Error(), "write the waits")
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
