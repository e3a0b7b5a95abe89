package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// benchmarkSite returns a site of three daemons with the default timing.
func benchmarkSite(b *testing.B) *testSite {
	s := newTestSite(qt.New(b), 3)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	b.Cleanup(cancel)
	s.ctx = ctx
	for i := range s.settings {
		s.settings[i].Timing = config.Default().Timing
	}
	s.start(0, 1, 2)
	s.await("the founding", s.allVotersActive)
	return s
}

func benchmarkRow(name string) structs.RowChange {
	return structs.RowChange{Row: structs.Row{
		Name: structs.RowName(name), Kind: structs.RowModel, Weight: 1, MaxReplicas: 1, MemoryBytes: 1 << 30, Role: "answers",
	}}
}

// leaderIndex returns the index of the daemon that leads the global group.
func (s *testSite) leaderIndex() int {
	for {
		for index := range s.settings {
			running := s.running[s.settings[index].Daemon]
			if running == nil {
				continue
			}
			if _, valid := running.global.group.LeaderLease(); valid {
				return index
			}
		}
		pause.For(s.ctx, time.Millisecond)
	}
}

// BenchmarkFailover measures the time from the loss of the global leader until the next
// edit is accepted.
func BenchmarkFailover(b *testing.B) {
	s := benchmarkSite(b)
	for round := 0; b.Loop(); round++ {
		b.StopTimer()
		leader := s.leaderIndex()
		s.kill(leader)
		b.StartTimer()
		s.edit(fmt.Sprint("row-", round))
		b.StopTimer()
		s.start(leader)
		s.await("the whole site", s.allVotersActive)
		b.StartTimer()
	}
}

// BenchmarkCatchUp measures the time from the start of a daemon that missed 500 edits
// until it has applied all of them.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 500
	s := benchmarkSite(b)
	for round := 0; b.Loop(); round++ {
		b.StopTimer()
		behind := (s.leaderIndex() + 1) % len(s.settings)
		s.kill(behind)
		for number := range missed {
			s.edit(fmt.Sprintf("row-%d-%d", round, number))
		}
		revision := s.revision()
		b.StartTimer()
		s.start(behind)
		started := s.running[s.settings[behind].Daemon]
		for {
			changed := started.global.group.Changed()
			var reached uint64
			started.global.group.View(func() { reached = started.global.machine.state.Revision() })
			if reached >= revision {
				break
			}
			<-changed
		}
	}
}

// BenchmarkEditInForce measures the time from sending an edit until it is in force in
// the zone.
func BenchmarkEditInForce(b *testing.B) {
	s := benchmarkSite(b)
	for round := 0; b.Loop(); round++ {
		s.edit(fmt.Sprint("row-", round))
		s.awaitInForce(s.revision())
	}
}

// BenchmarkEdits sends one-row edits from 32 concurrent operators.
func BenchmarkEdits(b *testing.B) {
	const operators = 32
	s := benchmarkSite(b)
	b.ResetTimer()
	var sending sync.WaitGroup
	for operator := range operators {
		sending.Go(func() {
			for number := operator; number < b.N; number += operators {
				s.edit(fmt.Sprint("row-", number))
			}
		})
	}
	sending.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "edits/s")
}

// BenchmarkRestartFullTable measures the time a daemon with a table of 58,000 rows
// takes to start and apply its log.
func BenchmarkRestartFullTable(b *testing.B) {
	const rows, perEdit = 58_000, 1000
	s := benchmarkSite(b)
	for first := 0; first < rows; first += perEdit {
		edit := structs.Edit{ID: structs.EditID(uuid.NewString()), Author: "test"}
		for number := range perEdit {
			edit.Changes = append(edit.Changes, benchmarkRow(fmt.Sprint("row-", first+number)))
		}
		for {
			result, err := s.operators().Apply(s.ctx, edit, false)
			if err == nil {
				s.c.Assert(result.Accepted, qt.IsTrue)
				break
			}
			s.c.Assert(s.ctx.Err(), qt.IsNil)
		}
	}
	revision := s.revision()
	s.awaitInForce(revision)
	restarted := (s.leaderIndex() + 1) % len(s.settings)
	for b.Loop() {
		b.StopTimer()
		s.kill(restarted)
		b.StartTimer()
		s.start(restarted)
		started := s.running[s.settings[restarted].Daemon]
		for {
			globalChanged, zoneChanged := started.global.group.Changed(), started.zone.group.Changed()
			var reached uint64
			started.global.group.View(func() { reached = started.global.machine.state.Revision() })
			if reached >= revision && started.zone.tableRevision() >= revision {
				break
			}
			select {
			case <-globalChanged:
			case <-zoneChanged:
			}
		}
	}
	b.StopTimer()
	for _, name := range []string{globalGroupName, "zone-north"} {
		info, err := os.Stat(filepath.Join(s.settings[restarted].DataFolder, name+".db"))
		s.c.Assert(err, qt.IsNil)
		b.ReportMetric(float64(info.Size())/(1<<20), name+"-MiB")
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/(1<<20)/float64(len(s.settings)), "heap-MiB/daemon")
}

// BenchmarkIdle reports the traffic of a daemon that is a follower in both groups while
// the site is idle.
func BenchmarkIdle(b *testing.B) {
	s := benchmarkSite(b)
	follower := s.running[s.settings[(s.leaderIndex()+1)%len(s.settings)].Daemon]
	total := func() uint64 {
		sum := uint64(0)
		for _, stats := range []transport.Stats{follower.client.Stats(), follower.server.Stats()} {
			sum += stats.BytesIn + stats.BytesOut
		}
		return sum
	}
	before := total()
	began := time.Now()
	for b.Loop() {
		pause.For(s.ctx, 5*time.Second)
	}
	b.ReportMetric(float64(total()-before)/time.Since(began).Seconds(), "bytes/s")
}

// zonesSite returns a site of zones with one controller each, three of which are the
// voters of the global group, with the default timing.
func zonesSite(b *testing.B, zones int) *testSite {
	const voters = 3
	s := newTestSite(qt.New(b), zones)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	b.Cleanup(cancel)
	s.ctx = ctx
	members := s.settings[0].Site.GlobalVoters
	var listed []config.Zone
	for _, member := range members {
		listed = append(listed, config.Zone{
			ID: structs.ZoneID(member.Daemon), Weight: 100, Controllers: []config.Member{member},
		})
	}
	for i := range s.settings {
		settings := &s.settings[i]
		settings.Zone = listed[i].ID
		settings.Site.Zones = listed
		settings.Site.GlobalVoters = members[:voters]
		settings.Timing = config.Default().Timing
		s.start(i)
	}
	return s
}

// awaitEveryZone waits until the revision is in force in every zone.
func (s *testSite) awaitEveryZone(revision uint64) {
	for _, settings := range s.settings {
		node := s.running[settings.Daemon].zone
		for {
			changed := node.group.Changed()
			if node.tableRevision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-s.ctx.Done():
				s.c.Fatalf("revision %d did not come into force in zone %s", revision, settings.Zone)
			}
		}
	}
}

// BenchmarkEditInEveryZone measures the median and the 99th percentile of the time from
// sending an edit until it is in force in all zones.
func BenchmarkEditInEveryZone(b *testing.B) {
	for _, zones := range []int{3, 24} {
		b.Run(fmt.Sprint("zones=", zones), func(b *testing.B) {
			s := zonesSite(b, zones)
			s.edit("first")
			s.awaitEveryZone(s.revision())
			var taken []time.Duration
			for round := 0; b.Loop(); round++ {
				began := time.Now()
				s.edit(fmt.Sprint("row-", round))
				s.awaitEveryZone(s.revision())
				taken = append(taken, time.Since(began))
			}
			slices.Sort(taken)
			b.ReportMetric(taken[len(taken)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(taken[(len(taken)-1)*99/100].Seconds()*1000, "p99-ms")
		})
	}
}
