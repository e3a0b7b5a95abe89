package simulate

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// traceLines is the number of notable lines in a violation.
const traceLines = 60

// Trace records events as lines. All lines are hashed; the last notable ones are
// retained.
type Trace struct {
	scheduler *Scheduler
	digest    *xxhash.Digest
	line      []byte
	ring      [traceLines]string
	kept      int
	lines     uint64
	// sink, if set, is called with every line.
	sink func(line string)
}

// NewTrace returns an empty trace.
func NewTrace(scheduler *Scheduler) *Trace {
	return &Trace{scheduler: scheduler, digest: xxhash.New()}
}

// Event records a frequent event, such as a message between nodes.
func (t *Trace) Event(kind, from, to string, numbers ...uint64) {
	t.begin(kind)
	t.line = append(t.line, ' ')
	t.line = append(t.line, from...)
	t.line = append(t.line, '>')
	t.line = append(t.line, to...)
	for _, number := range numbers {
		t.line = append(t.line, ' ')
		t.line = strconv.AppendUint(t.line, number, 10)
	}
	t.finish()
}

// Note records a notable event and retains its line.
func (t *Trace) Note(kind, subject, text string) {
	t.begin(kind)
	t.line = append(t.line, ' ')
	t.line = append(t.line, subject...)
	t.line = append(t.line, ' ')
	t.line = append(t.line, text...)
	t.ring[t.kept%traceLines] = string(t.line)
	t.kept++
	t.finish()
}

// Sum returns the hash of all lines so far.
func (t *Trace) Sum() uint64 { return t.digest.Sum64() }

// Lines returns the number of lines.
func (t *Trace) Lines() uint64 { return t.lines }

// Last returns the last notable lines, oldest first.
func (t *Trace) Last() []string {
	count := min(t.kept, traceLines)
	last := make([]string, 0, count)
	for i := t.kept - count; i < t.kept; i++ {
		last = append(last, t.ring[i%traceLines])
	}
	return last
}

func (t *Trace) begin(kind string) {
	t.line = strconv.AppendInt(t.line[:0], int64(t.scheduler.Now()/time.Microsecond), 10)
	t.line = append(t.line, "us "...)
	t.line = append(t.line, kind...)
}

func (t *Trace) finish() {
	if t.sink != nil {
		t.sink(string(t.line))
	}
	t.line = append(t.line, '\n')
	_, _ = t.digest.Write(t.line)
	t.lines++
}
