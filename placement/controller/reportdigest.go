package controller

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// ReportDigest returns a hash of the parts of a report that a leader decides on, without the
// load. Reports with equal digests show the same incarnation, accepted orders, replicas and
// cached checkpoints.
func ReportDigest(report structs.EngineReport) uint64 {
	digest := xxhash.New()
	write := func(fields ...string) {
		for _, field := range fields {
			// Writing to a hash never fails. The zero byte terminates the field.
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
	}
	number := func(numbers ...uint64) {
		for _, value := range numbers {
			write(strconv.FormatUint(value, 36))
		}
	}
	write(string(report.Runner), string(report.Role))
	number(uint64(report.Incarnation), uint64(report.Fence.Epoch), uint64(report.Fence.Number))
	number(uint64(report.MemoryBytes), uint64(report.Accelerators), uint64(len(report.Replicas)))
	for _, replica := range byRow(report.Replicas) {
		write(string(replica.Row), string(replica.State))
		number(uint64(replica.Fence.Epoch), uint64(replica.Fence.Number))
	}
	for _, cached := range slices.SortedFunc(slices.Values(report.Cached), compareCached) {
		write(string(cached.Row), string(cached.Tier))
	}
	return digest.Sum64()
}

func compareCached(a, b structs.CachedRow) int {
	return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(a.Tier, b.Tier))
}

// byRow returns the replicas sorted by row.
func byRow(replicas []structs.EngineReplica) []structs.EngineReplica {
	return slices.SortedFunc(slices.Values(replicas), func(a, b structs.EngineReplica) int { return cmp.Compare(a.Row, b.Row) })
}

// busyOf returns the number of requests on each replica, sorted by row.
func busyOf(report structs.EngineReport) []int {
	busy := make([]int, 0, len(report.Replicas))
	for _, replica := range byRow(report.Replicas) {
		busy = append(busy, replica.Running+replica.Queued)
	}
	return busy
}

// withBusy returns a copy of the report with the request counts replaced. The counts are
// from a report with the same digest.
func withBusy(report structs.EngineReport, busy []int) structs.EngineReport {
	if len(busy) != len(report.Replicas) {
		return report
	}
	report.Replicas = byRow(report.Replicas)
	for i := range report.Replicas {
		report.Replicas[i].Running = busy[i]
		report.Replicas[i].Queued = 0
	}
	return report
}
