package overload

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// scenario is what arrives.
type scenario struct {
	name    string
	streams []stream
	// returns lets refused callers come back once, when they were told to.
	returns bool
}

// The labels of calls that are counted apart.
const (
	labelAll    = "all"
	labelFlood  = "flood"
	labelOthers = "others"
	labelBurst  = "burst"
)

// The names of the scenarios; a load's name carries its factor.
const (
	scenarioLoad        = "load"
	scenarioBatchFlood  = "batch-flood"
	scenarioBurst       = "burst"
	scenarioReturns     = "burst-with-returns"
	scenarioCallerFlood = "caller-flood"
	scenarioRowFlood    = "row-flood"
)

// loadFactors are the offered loads, as multiples of capacity.
var loadFactors = []float64{0.5, 1, 1.5, 2, 3}

const (
	// fairFactor is the load of those who do not flood, floodFactor of those who do.
	fairFactor  = 0.4
	floodFactor = 2.6
	// usualFactor is the load around a burst; burstFactor comes on top for burstTime.
	usualFactor = 0.6
	burstFactor = 2.4
	burstTime   = 8 * time.Second
	burstStart  = 8 * time.Second
)

// scenarios lists what is measured at the given capacity, in answers a second.
func scenarios(capacity float64, length time.Duration) []scenario {
	mixed := stream{label: labelAll, until: length, caller: anyOne, row: anyOne, priority: anyOne}
	var all []scenario
	for _, factor := range loadFactors {
		loaded := mixed
		loaded.rate = factor * capacity
		all = append(all, scenario{name: loadName(factor), streams: []stream{loaded}})
	}
	usual := mixed
	usual.rate = usualFactor * capacity
	burst := mixed
	burst.label = labelBurst
	burst.from, burst.until = burstStart, burstStart+burstTime
	burst.rate = burstFactor * capacity
	others := stream{label: labelOthers, until: length, caller: anyOne, row: anyOne, priority: int(structs.PriorityStandard), rate: fairFactor * capacity}
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
		scenario{name: scenarioReturns, streams: []stream{usual, burst}, returns: true},
		scenario{name: scenarioCallerFlood, streams: []stream{others, byCaller}},
		scenario{name: scenarioRowFlood, streams: append(quiet, byRow)},
	)
}

func loadName(factor float64) string { return fmt.Sprintf("%s-%.1fx", scenarioLoad, factor) }
