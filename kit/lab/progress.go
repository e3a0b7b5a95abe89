package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// progressInterval is the interval between progress updates.
const progressInterval = time.Second

// Progress is the current state of a run under load.
type Progress struct {
	Elapsed time.Duration
	// Sent is the number of calls made so far, Open the number of those in progress.
	Sent     int
	Open     int
	Answered int
	Refused  int
	// Failed is the number of calls whose last transfer failed.
	Failed int
	// FirstToken is the time to first token of all calls so far, from their due times.
	FirstToken Percentiles
	// Fault is the kind of the fault in progress, or "".
	Fault string
	// Replicas and LoadedBytes are held by the emulated engines; 0 without them.
	Replicas    int
	LoadedBytes int64
}

// String returns the progress as one line.
func (p Progress) String() string {
	line := fmt.Sprintf("%4.0f s  sent %d, open %d, answered %d, refused %d, failed %d  first token p50 %.3f p95 %.3f p99 %.3f s",
		p.Elapsed.Seconds(), p.Sent, p.Open, p.Answered, p.Refused, p.Failed, p.FirstToken.P50, p.FirstToken.P95, p.FirstToken.P99)
	if p.Replicas > 0 {
		line += fmt.Sprintf("  replicas %d, %.0f GiB", p.Replicas, float64(p.LoadedBytes)/float64(gibibyte))
	}
	if p.Fault != "" {
		line += "  fault " + p.Fault
	}
	return line
}

// loadCounts are the counts of a run in progress.
type loadCounts struct {
	sent, answered, refused, failed int
	firstToken                      latencies
}

func (c *loadCounts) end(last Outcome) {
	switch {
	case last.Answered():
		c.answered++
	case shouldRetry(last):
		c.failed++
	default:
		c.refused++
	}
	if !last.FirstTokenAt.IsZero() {
		c.firstToken.add(last.FirstTokenAt.Sub(last.PlannedAt))
	}
}

func (l *loadRun) progress() Progress {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Progress{
		Sent:       l.counts.sent,
		Open:       l.counts.sent - l.counts.answered - l.counts.refused - l.counts.failed,
		Answered:   l.counts.answered,
		Refused:    l.counts.refused,
		Failed:     l.counts.failed,
		FirstToken: l.counts.firstToken.percentiles(),
	}
}

// showProgress calls show every second until the returned function is called, which
// waits for the last call to return. A nil show is never called.
func (l *loadRun) showProgress(show func(Progress), complete func(*Progress)) (stop func()) {
	if show == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(done)
		for pause.For(ctx, progressInterval) {
			progress := l.progress()
			progress.Elapsed = time.Since(began)
			complete(&progress)
			show(progress)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// loaded returns the number of replicas and the memory in bytes that the engines hold
// now.
func (p *Platform) loaded() (replicas int, bytes int64) {
	for _, runner := range p.Runners {
		runner.Server.Engine(func(engine *emulator.Engine, _ time.Time) []emulator.EngineOutput {
			changes := engine.Records().ReplicaChanges
			present := map[structs.RowName]bool{}
			for _, change := range changes {
				present[change.Row] = change.State != structs.ReplicaAbsent
			}
			for _, held := range present {
				if held {
					replicas++
				}
			}
			if len(changes) > 0 {
				bytes += changes[len(changes)-1].MemoryUsed
			}
			return nil
		})
	}
	return replicas, bytes
}
