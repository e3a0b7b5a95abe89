package workload

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// callSize holds the priority, median token counts and deadline of a call class.
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

// generator accumulates the arrivals of a workload.
type generator struct {
	shape    Shape
	random   *rand.Rand
	arrivals []Arrival
}

// add appends a call at a random router of the zone.
func (g *generator) add(at time.Duration, zone structs.ZoneID, row structs.RowName, class Class) {
	size := callSizes[class]
	g.arrivals = append(g.arrivals, Arrival{
		At: at, Zone: zone, Router: g.random.IntN(g.shape.RoutersPerZone), Row: row, Class: class,
		Priority: size.priority, PromptTokens: sampleTokens(g.random, size.prompt),
		OutputTokens: sampleTokens(g.random, size.output), Deadline: size.deadline,
	})
}

func (g *generator) anyZone() structs.ZoneID {
	return g.shape.Zones[g.random.IntN(len(g.shape.Zones))]
}

// finish returns the arrivals within the given number of days, sorted.
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

// burst adds count calls for one row, at random routers of all zones and at
// times uniform in [at, at+spread).
func (g *generator) burst(at time.Duration, count int, spread time.Duration, row structs.RowName, class Class) {
	for range count {
		offset := time.Duration(g.random.Float64() * float64(spread))
		g.add(at+offset, g.anyZone(), row, class)
	}
}

// Generate returns the workload of the named site, "padano" or "meknes", for
// the given number of days. The result is deterministic for equal arguments.
// Any other site gives an error of kind structs.ErrorInvalid.
func Generate(site string, shape Shape, days int, seed uint64) ([]Arrival, error) {
	g := &generator{shape: shape, random: newRand(seed)}
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

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, workloadStream)) }

// workloadStream is the PCG stream of the workload, distinct from that of fault injection.
const workloadStream = 11
