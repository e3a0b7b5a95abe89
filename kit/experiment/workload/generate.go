package workload

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// callSize says how large the calls of a class are and how long they may take.
type callSize struct {
	priority structs.Priority
	prompt   int
	output   int
	deadline time.Duration
}

var callSizes = map[Class]callSize{
	ClassEditor:      {structs.PriorityLive, 900, 90, 12 * time.Second},
	ClassSearch:      {structs.PriorityLive, 60, 1, 8 * time.Second},
	ClassReview:      {structs.PriorityBatch, 3000, 300, 4 * time.Hour},
	ClassGate:        {structs.PriorityLive, 120, 30, 8 * time.Second},
	ClassCertificate: {structs.PriorityStandard, 800, 350, 5 * time.Minute},
	ClassPicking:     {structs.PriorityStandard, 1500, 200, 15 * time.Minute},
}

// generator gathers the arrivals of one workload.
type generator struct {
	shape    Shape
	random   *rand.Rand
	arrivals []Arrival
}

// add adds a call at any router of the zone.
func (g *generator) add(at time.Duration, zone structs.ZoneID, row structs.RowName, class Class) {
	size := callSizes[class]
	g.arrivals = append(g.arrivals, Arrival{
		At: at, Zone: zone, Router: g.random.IntN(g.shape.RoutersPerZone), Row: row, Class: class,
		Priority: size.priority, PromptTokens: tokens(g.random, size.prompt),
		OutputTokens: tokens(g.random, size.output), Deadline: size.deadline,
	})
}

func (g *generator) anyZone() structs.ZoneID {
	return g.shape.Zones[g.random.IntN(len(g.shape.Zones))]
}

// finish orders the arrivals and drops those after the last day.
func (g *generator) finish(days int) []Arrival {
	kept := g.arrivals[:0]
	for _, arrival := range g.arrivals {
		if arrival.At < time.Duration(days)*day {
			kept = append(kept, arrival)
		}
	}
	Sort(kept)
	return kept
}

// burst adds calls for one row at the routers of all zones within the spread.
func (g *generator) burst(at time.Duration, count int, spread time.Duration, row structs.RowName, class Class) {
	for range count {
		offset := time.Duration(g.random.Float64() * float64(spread))
		g.add(at+offset, g.anyZone(), row, class)
	}
}

// Generate returns the workload of the named site, "padano" or "meknes", over
// the days. Equal arguments give equal workloads. Another name is refused with
// structs.ErrorInvalid.
func Generate(site string, shape Shape, days int, seed uint64) ([]Arrival, error) {
	g := &generator{shape: shape, random: randomOf(seed)}
	switch site {
	case "padano":
		g.padano(days)
	case "meknes":
		g.meknes(days)
	default:
		return nil, structs.NewError(structs.ErrorInvalid, "there is no generated workload for site "+site,
			"Choose padano or meknes, or give a recorded trace.")
	}
	return g.finish(days), nil
}

func randomOf(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, workloadStream)) }

// workloadStream keeps the workload's randomness apart from that of faults.
const workloadStream = 11
