package overload

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// scenario is a set of arrival streams.
type scenario struct {
	name    string
	streams []stream
	// retries enables one retry per refused call, after its retry delay.
	retries bool
}

// The labels of calls that are counted separately.
const (
	labelAll    = "all"
	labelFlood  = "flood"
	labelOthers = "others"
	labelBurst  = "burst"
)

// The names of the scenarios. Load scenarios have the factor as a suffix.
const (
	scenarioLoad        = "load"
	scenarioBatchFlood  = "batch-flood"
	scenarioBurst       = "burst"
	scenarioRetries     = "burst-with-returns"
	scenarioCallerFlood = "caller-flood"
	scenarioRowFlood    = "row-flood"
)

// loadFactors holds the offered loads as multiples of capacity.
var loadFactors = []float64{0.5, 1, 1.5, 2, 3}

const (
	// backgroundFactor and floodFactor are the loads of normal and of flooding
	// callers.
	backgroundFactor = 0.4
	floodFactor      = 2.6
	// baseFactor is the steady load; a burst adds burstFactor for burstTime.
	baseFactor  = 0.6
	burstFactor = 2.4
	burstTime   = 8 * time.Second
	burstStart  = 8 * time.Second
)

// scenarios returns all scenarios for a capacity in answers per second and an arrival
// period.
func scenarios(capacity float64, length time.Duration) []scenario {
	mixed := stream{label: labelAll, until: length, caller: drawEach, row: drawEach, priority: drawEach}
	var all []scenario
	for _, factor := range loadFactors {
		loaded := mixed
		loaded.rate = factor * capacity
		all = append(all, scenario{name: loadName(factor), streams: []stream{loaded}})
	}
	usual := mixed
	usual.rate = baseFactor * capacity
	burst := mixed
	burst.label = labelBurst
	burst.from, burst.until = burstStart, burstStart+burstTime
	burst.rate = burstFactor * capacity
	others := stream{label: labelOthers, until: length, caller: drawEach, row: drawEach, priority: int(structs.PriorityStandard), rate: backgroundFactor * capacity}
	flood := others
	flood.label = labelFlood
	flood.rate = floodFactor * capacity
	live, batch := others, flood
	live.label = labelOthers
	live.priority = int(structs.PriorityLive)
	batch.priority = int(structs.PriorityBatch)
	byCaller, byRow := flood, flood
	byCaller.caller = callerCount
	byRow.row = rowCount - 1
	quiet := []stream{others, others}
	for index := range quiet {
		quiet[index].row = index
		quiet[index].rate = others.rate / float64(len(quiet))
	}
	return append(all,
		scenario{name: scenarioBatchFlood, streams: []stream{live, batch}},
		scenario{name: scenarioBurst, streams: []stream{usual, burst}},
		scenario{name: scenarioRetries, streams: []stream{usual, burst}, retries: true},
		scenario{name: scenarioCallerFlood, streams: []stream{others, byCaller}},
		scenario{name: scenarioRowFlood, streams: append(quiet, byRow)},
	)
}

func loadName(factor float64) string { return fmt.Sprintf("%s-%.1fx", scenarioLoad, factor) }
