package experiment

import (
	"bytes"
	"encoding/csv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWaitCausesAddUpToTotal(t *testing.T) {
	site := siteOf(t, "padano")
	w := newSimulation(site, mondayMorningArrivals(t, site), 1, false)
	var waits []Wait
	note := func(wait Wait) { waits = append(waits, wait) }
	w.waits = &waitTracer{sim: w, report: note, pending: map[*request]map[WaitCause]time.Duration{}}
	qt.Assert(t, w.setPlanners(PolicyLRU), qt.IsNil)
	w.run(2 * time.Hour)
	cold := 0
	for _, count := range w.recorder.classes {
		cold += count.cold
	}
	qt.Assert(t, waits, qt.HasLen, cold)
	for _, wait := range waits {
		explained := time.Duration(0)
		for _, part := range wait.Causes {
			explained += part
		}
		// The remainder is the time to first token after the request starts.
		left := wait.Total - explained
		qt.Check(t, left > -waitSampleInterval && left < time.Second, qt.IsTrue, qt.Commentf("%+v", wait))
		qt.Check(t, wait.Causes[WaitLoad] > 0 || wait.Causes[WaitBase] > 0 || wait.Total < 2*time.Second, qt.IsTrue, qt.Commentf("%+v", wait))
	}
}

func TestWaitWriterWritesCSV(t *testing.T) {
	var out bytes.Buffer
	writer, err := NewWaitWriter(&out)
	qt.Assert(t, err, qt.IsNil)
	writer.Write(Wait{Total: 1500 * time.Millisecond, Refused: true, Causes: map[WaitCause]time.Duration{WaitGrant: time.Second}})
	qt.Assert(t, writer.Flush(), qt.IsNil)
	records, err := csv.NewReader(&out).ReadAll()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.HasLen, 2)
	line := map[string]string{}
	for i, name := range records[0] {
		line[name] = records[1][i]
	}
	qt.Check(t, line["total_seconds"], qt.Equals, "1.500")
	qt.Check(t, line["refused"], qt.Equals, "true")
	qt.Check(t, line[string(WaitGrant)], qt.Equals, "1.000")
	qt.Check(t, line[string(WaitRole)], qt.Equals, "0.000")
}
