package workload

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Parameters of the Meknes workload, which models growers during the harvest.
const (
	growers               = 36
	pickingsPerDay        = 9.0
	pickingParcels        = 3.0
	parcelGap             = 25 * time.Second
	certificatesPerDay    = 140.0
	certificateDraws      = 1.8
	certificateGap        = 90 * time.Second
	convoysPerDay         = 22.0
	lorriesPerConvoy      = 6.0
	lorryGap              = 50 * time.Second
	queriesPerLorry       = 2.0
	queryGap              = 15 * time.Second
	pressBurstsPerDay     = 5.0
	pressBurstCalls       = 18
	pressBurstSpread      = 5 * time.Second
	sundayShare           = 0.35
	neighbourRecordShare  = 0.15
	meknesZipfExponent    = 1.1
	recordsPerWeighbridge = 2
)

var (
	// pickingHours peaks at noon and in the evening, when picking stops.
	pickingHours = hourlyWeights{
		0, 0, 0, 0, 0, 0, 0.5, 1, 1, 1, 2, 5, 7, 4, 2, 2, 4, 8, 10, 8, 4, 1.5, 0.4, 0.1,
	}
	certificateHours = hourlyWeights{
		0, 0, 0, 0, 0, 0, 0, 0.5, 4, 8, 9, 8, 3, 2, 6, 8, 7, 3, 1, 0.3, 0.1, 0, 0, 0,
	}
	// lorryHours peaks in the morning and in the late afternoon.
	lorryHours = hourlyWeights{
		0, 0, 0, 0, 0.3, 2, 6, 9, 10, 9, 7, 5, 3, 2, 2, 3, 5, 7, 8, 6, 3, 1, 0.3, 0.1,
	}
)

// meknes adds picking summaries, certificate drafts, weighbridge queries for
// convoys of lorries, and bursts of picking summaries when a press slot opens.
func (g *generator) meknes(days int) {
	summaries := newPopularity(g.random, g.shape.rowsOf("summaries"), meknesZipfExponent)
	records := g.shape.rowsOf("records")
	bridges := g.weighbridges(records)
	owners := make([]client, growers)
	for i := range owners {
		owners[i] = client{zone: g.shape.Zones[i%len(g.shape.Zones)], rows: []structs.RowName{summaries.sample(g.random)}}
	}
	for number := range days {
		start := time.Duration(number) * day
		share := 1.0
		if weekday(number) == sunday {
			share = sundayShare
		}
		for _, owner := range owners {
			for _, at := range pickingHours.sampleDay(g.random, pickingsPerDay*share) {
				g.series(start+at, pickingParcels, parcelGap, owner.zone, owner.rows[0], ClassPicking)
			}
		}
		for _, at := range certificateHours.sampleDay(g.random, certificatesPerDay*share) {
			g.series(start+at, certificateDraws, certificateGap, g.anyZone(), summaries.sample(g.random), ClassCertificate)
		}
		for _, bridge := range bridges {
			for _, at := range lorryHours.sampleDay(g.random, convoysPerDay*share) {
				g.convoy(start+at, bridge, records)
			}
		}
		for _, at := range pickingHours.sampleDay(g.random, pressBurstsPerDay*share) {
			g.burst(start+at, pressBurstCalls/2+g.random.IntN(pressBurstCalls), pressBurstSpread, summaries.sample(g.random), ClassPicking)
		}
	}
}

// weighbridges returns one weighbridge per zone with its most queried rows.
func (g *generator) weighbridges(records []structs.RowName) []client {
	var bridges []client
	order := g.random.Perm(len(records))
	for i, zone := range g.shape.Zones {
		bridge := client{zone: zone}
		for k := range recordsPerWeighbridge {
			bridge.rows = append(bridge.rows, records[order[(i*recordsPerWeighbridge+k)%len(order)]])
		}
		bridges = append(bridges, bridge)
	}
	return bridges
}

// series adds a geometric number of calls of one class for one row, separated by
// log-normal gaps.
func (g *generator) series(at time.Duration, mean float64, gap time.Duration, zone structs.ZoneID, row structs.RowName, class Class) {
	for range geometric(g.random, mean) {
		g.add(at, zone, row, class)
		at += logNormalDuration(g.random, gap, thinkSpread)
	}
}

// convoy adds a series of queries for each lorry of a convoy that arrives at a
// weighbridge.
func (g *generator) convoy(at time.Duration, bridge client, records []structs.RowName) {
	for range geometric(g.random, lorriesPerConvoy) {
		row := bridge.rows[g.random.IntN(len(bridge.rows))]
		if g.random.Float64() < neighbourRecordShare {
			row = records[g.random.IntN(len(records))]
		}
		g.series(at, queriesPerLorry, queryGap, bridge.zone, row, ClassGate)
		at += logNormalDuration(g.random, lorryGap, thinkSpread)
	}
}
