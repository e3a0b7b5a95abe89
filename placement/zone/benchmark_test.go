package zone

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/lotusferry/lotusferry/structs"
)

// newLargeState returns a zone state with the given numbers of runners and rows.
func newLargeState(runners, rows int) *testMachine {
	m := &testMachine{State: New("z")}
	delta := &structs.TableDelta{Revision: 1, Full: true}
	for i := range rows {
		name := structs.RowName(fmt.Sprintf("adapter-%05d", i))
		delta.Rows = append(delta.Rows, testRow(name, 10))
		delta.Grants = append(delta.Grants, testGrant(name, 1, 1))
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: name, Zones: []structs.ZoneID{"z", "y"}})
	}
	m.must(Command{Adopt: delta})
	for i := range runners {
		id := structs.RunnerID(fmt.Sprintf("runner-%03d", i))
		m.must(registration(testRunner(id, 1)))
		for k := range 5 {
			m.must(reserve(delta.Rows[5*i+k].Name, id, 1))
		}
	}
	return m
}

func BenchmarkApplyClaim(b *testing.B) {
	m := newLargeState(420, 58_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := structs.ClaimKey(fmt.Sprint(i))
		m.must(Command{ClaimBegin: &ClaimBeginCommand{Key: key, Request: "r", Holder: "d"}})
		m.must(Command{ClaimFinish: &ClaimFinishCommand{
			Key: key, Request: "r", State: structs.ClaimFinished, AnswerBytes: 400, ExpiresAt: testTime,
		}})
		if i%1000 == 999 {
			m.must(Command{ClaimExpire: &ClaimExpireCommand{Now: testTime}})
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkClaimKeys looks up absent keys in a table of MaxClaimKeys keys whose
// expiry times are spread at 131 keys per second.
func BenchmarkClaimKeys(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var kept keyOnlyClaims
	random := rand.New(rand.NewPCG(1, 1))
	for number := range MaxClaimKeys {
		kept.add(keyHash(random.Uint64()), uint32(86_400+number/131))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		kept.has(keyHash(random.Uint64()))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/MaxClaimKeys, "bytes/key")
}

func BenchmarkSnapshot(b *testing.B) {
	m := newLargeState(420, 58_000)
	for b.Loop() {
		data, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}

func BenchmarkStateMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := newLargeState(420, 58_000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
	}
}
