package group

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/transport"
)

// benchmarkEntries and benchmarkEntryBytes describe a log with one entry per adapter.
const (
	benchmarkEntries    = 58_000
	benchmarkEntryBytes = 200
)

// proposeMany proposes count commands from several goroutines.
func proposeMany(c *qt.C, cl *cluster, leader *member, proposers, count int) {
	var waiting sync.WaitGroup
	failures := make(chan error, proposers)
	for proposer := range proposers {
		waiting.Go(func() {
			for number := proposer; number < count; number += proposers {
				if _, err := leader.Propose(cl.ctx, make([]byte, benchmarkEntryBytes)); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	waiting.Wait()
	close(failures)
	for err := range failures {
		c.Fatalf("propose: %v", err)
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", size, proposers), func(b *testing.B) {
				c := qt.New(b)
				cl := newCluster(c, size, Options{TickInterval: DefaultTickInterval})
				leader := cl.leader(cl.members...)
				b.ResetTimer()
				proposeMany(c, cl, leader, proposers, b.N)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			})
		}
	}
}

func BenchmarkRead(b *testing.B) {
	c := qt.New(b)
	cl := newCluster(c, 3, Options{TickInterval: DefaultTickInterval})
	leader := cl.leader(cl.members...)
	for b.Loop() {
		c.Assert(leader.Read(cl.ctx), qt.IsNil)
	}
}

// BenchmarkIdleTraffic reports the traffic between a leader and one follower, summed over
// both directions, with the default heartbeat.
func BenchmarkIdleTraffic(b *testing.B) {
	c := qt.New(b)
	cl := newCluster(c, 3, Options{TickInterval: DefaultTickInterval})
	leader := cl.leader(cl.members...)
	traffic := func() uint64 {
		total := uint64(0)
		for _, stats := range []transport.Stats{leader.client.Stats(), leader.server.Stats()} {
			total += stats.BytesIn + stats.BytesOut
		}
		return total
	}
	before := traffic()
	started := time.Now()
	for b.Loop() {
		<-time.After(2 * time.Second)
	}
	b.ReportMetric(float64(traffic()-before)/time.Since(started).Seconds()/2, "bytes/s/follower")
}

// BenchmarkRestart measures the time from opening the store until the entries known to be
// committed are applied.
func BenchmarkRestart(b *testing.B) {
	c := qt.New(b)
	cl := newCluster(c, 1, Options{TickInterval: DefaultTickInterval, SnapshotEntries: 10 * benchmarkEntries})
	only := cl.leader(cl.members...)
	proposeMany(c, cl, only, 64, benchmarkEntries)
	for b.Loop() {
		b.StopTimer()
		only.stop()
		b.StartTimer()
		only.start()
		committed := only.Status().CommitIndex
		c.Assert(committed > benchmarkEntries*9/10, qt.IsTrue)
		only.waitFor("the log", func(status Status) bool { return status.AppliedIndex >= committed })
	}
}
