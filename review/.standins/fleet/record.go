package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
	// runs counts the runs of each attempt, by its ID.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now(), runs: make(map[string][]string)}, nil
}

func (r *record) write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.lines, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// ran records that a runner began work on a request.
func (r *record) ran(attempt, runner, line string) {
	r.write("runner %s runs %s (%s)", runner, attempt, line)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[attempt] = append(r.runs[attempt], runner)
}

// runsOf returns the runners that ran an attempt.
func (r *record) runsOf(attempt string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string{}, r.runs[attempt]...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
