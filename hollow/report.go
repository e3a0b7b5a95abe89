package hollow

import (
	"math"
	"slices"
	"time"
)

// Report is what a hollow run measured and found.
type Report struct {
	Seed         uint64 `json:"seed"`
	Regions      int    `json:"regions"`
	Zones        int    `json:"zones"`
	Daemons      int    `json:"daemons"`
	Controls     int    `json:"control_machines"`
	Runners      int    `json:"runners"`
	Accelerators int    `json:"accelerators"`
	Rows         int    `json:"rows"`
	// FullTableRouters is how many routers of all kept the whole table.
	FullTableRouters int     `json:"full_table_routers"`
	Share            float64 `json:"share_of_requests"`
	// The virtual time of the bootstrap and under load, and the real time of each.
	BootstrapSeconds     float64 `json:"bootstrap_virtual_seconds"`
	BootstrapRealSeconds float64 `json:"bootstrap_real_seconds"`
	LoadSeconds          float64 `json:"load_virtual_seconds"`
	LoadRealSeconds      float64 `json:"load_real_seconds"`
	// CutShort says that the real-time limit ended the load; the counts then
	// depend on the machine.
	CutShort bool `json:"cut_short"`
	// TableSeconds is the virtual time from the first edit of the bootstrap until
	// all routers had the whole table.
	TableSeconds      float64               `json:"table_in_force_seconds"`
	ReplicasReady     int                   `json:"replicas_ready_at_start"`
	Requests          RequestReport         `json:"requests"`
	Edits             EditReport            `json:"edits"`
	LoadsDone         int                   `json:"loads_done"`
	UnloadsDone       int                   `json:"unloads_done"`
	Bytes             map[string]ByteReport `json:"control_bytes_per_second"`
	BytesByKind       map[string]KindReport `json:"control_bytes_by_kind"`
	Cost              map[string]PartReport `json:"cost_by_part"`
	Memory            MemoryReport          `json:"memory"`
	ProcessCPUSeconds float64               `json:"process_cpu_seconds"`
	Events            uint64                `json:"events"`
	Faults            []FaultEvent          `json:"faults"`
	Violations        []Violation           `json:"violations"`
}

// RequestReport counts the requests of the run under load.
type RequestReport struct {
	Sent     int `json:"sent"`
	Cold     int `json:"sent_for_idle_rows"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Cut counts the requests whose router died.
	Cut               int            `json:"cut_with_their_router"`
	Open              int            `json:"open"`
	RefusedBy         map[string]int `json:"refused_by"`
	Tokens            uint64         `json:"tokens"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	TokensPerSecond   float64        `json:"tokens_per_second"`
	FirstToken        Distribution   `json:"first_token_seconds"`
	ColdStart         Distribution   `json:"first_token_of_idle_rows_seconds"`
	LongestGap        Distribution   `json:"longest_token_gap_seconds"`
}

// EditReport tells how edits went.
type EditReport struct {
	Sent     int `json:"sent"`
	Accepted int `json:"accepted"`
	// Decided is from the sending to the operator's answer. InForce is to the
	// moment when every router of every zone had it; for a zone that was cut off,
	// the time counts from the end of the cut.
	Decided Distribution `json:"decided_seconds"`
	InForce Distribution `json:"in_force_seconds"`
	// Missing counts accepted edits that some zone never had in force.
	Missing int `json:"missing"`
}

// Distribution sums up measured values.
type Distribution struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// ByteReport is the traffic of the daemons of one role, in bytes a second of
// virtual time, each byte counted at its sender and at its receiver.
type ByteReport struct {
	Daemons  int          `json:"daemons"`
	Sent     Distribution `json:"sent"`
	Received Distribution `json:"received"`
	Both     Distribution `json:"both"`
	// WithoutClaims leaves out the claims on idempotency keys.
	WithoutClaims Distribution `json:"both_without_claims"`
}

// KindReport is the traffic of one kind over all daemons, in bytes a second.
type KindReport struct {
	Total float64 `json:"total"`
	// ByRole is the mean of sent and received bytes of a daemon of each role.
	ByRole map[string]float64 `json:"by_role"`
}

// PartReport is the cost of a part of the decision code under load.
type PartReport struct {
	Calls uint64 `json:"calls"`
	// Seconds is real time, scaled up from the calls that were timed.
	Seconds float64 `json:"real_seconds"`
	// PerVirtualSecond is Seconds over the virtual time under load.
	PerVirtualSecond float64 `json:"per_virtual_second"`
	MicrosPerCall    float64 `json:"microseconds_per_call"`
}

// MemoryReport is the live heap after the run, and what each role's release freed.
type MemoryReport struct {
	HeapTotal    uint64            `json:"heap_bytes"`
	ByRole       map[string]uint64 `json:"freed_by_role"`
	PeakResident int64             `json:"peak_resident_bytes"`
}

func distribution(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	at := func(quantile float64) float64 {
		return sorted[max(0, int(math.Ceil(quantile*float64(len(sorted))))-1)]
	}
	return Distribution{
		Count: len(sorted), Mean: sum / float64(len(sorted)),
		P50: at(0.50), P95: at(0.95), P99: at(0.99), Max: sorted[len(sorted)-1],
	}
}

// sumRequests adds up the zones' counts.
func (s *site) sumRequests(seconds float64) RequestReport {
	sum := RequestReport{RefusedBy: map[string]int{}}
	var first, cold, gaps []float64
	for _, zone := range s.zones {
		load := &zone.load
		sum.Sent += load.sent
		sum.Cold += load.coldSent
		sum.Answered += load.answered
		sum.Refused += load.refused
		sum.Cut += load.cut
		sum.Open += load.open
		sum.Tokens += load.tokens
		for kind, count := range load.refusedBy {
			sum.RefusedBy[kind] += count
		}
		first = append(first, load.firstToken...)
		cold = append(cold, load.coldStart...)
		gaps = append(gaps, load.gaps...)
	}
	sum.RequestsPerSecond = float64(sum.Sent) / seconds
	sum.TokensPerSecond = float64(sum.Tokens) / seconds
	sum.FirstToken, sum.ColdStart, sum.LongestGap = distribution(first), distribution(cold), distribution(gaps)
	return sum
}

// sumEdits measures the edits sent from the given time on.
func (s *site) sumEdits(from int64) EditReport {
	var report EditReport
	var decided, inForce []float64
	for _, edit := range s.operator.edits {
		if edit.sentAt < from {
			continue
		}
		report.Sent++
		if !edit.accepted {
			continue
		}
		report.Accepted++
		decided = append(decided, time.Duration(edit.endedAt-edit.sentAt).Seconds())
		if seconds, everywhere := s.timeToForce(edit); everywhere {
			inForce = append(inForce, seconds)
		} else {
			report.Missing++
		}
	}
	report.Decided, report.InForce = distribution(decided), distribution(inForce)
	return report
}

// timeToForce returns when the last router of the last zone had an edit.
func (s *site) timeToForce(edit *editRecord) (float64, bool) {
	longest := int64(0)
	for _, zone := range s.zones {
		at, reached := reachedAt(zone.box.inForce, edit.revision)
		if !reached {
			return 0, false
		}
		start := edit.sentAt
		for _, cut := range s.cuts {
			if slices.Contains(cut.zones, zone) && cut.from <= at && edit.sentAt < cut.to {
				start = max(start, cut.to)
			}
		}
		longest = max(longest, at-start)
	}
	return time.Duration(longest).Seconds(), true
}
