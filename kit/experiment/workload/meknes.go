package workload

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The growers of Meknes and their habits in the harvest.
const (
	growers              = 36
	pickingsPerDay       = 9.0
	pickingParcels       = 3.0
	parcelGap            = 25 * time.Second
	certificatesPerDay   = 140.0
	certificateDraws     = 1.8
	certificateGap       = 90 * time.Second
	convoysPerDay        = 22.0
	lorriesPerConvoy     = 6.0
	lorryGap             = 50 * time.Second
	queriesPerLorry      = 2.0
	queryGap             = 15 * time.Second
	pressBurstsPerDay    = 5.0
	pressBurstCalls      = 18
	pressBurstSpread     = 5 * time.Second
	restDayShare         = 0.35
	neighbourRecordShare = 0.15
	meknesTail           = 1.1
	recordsPerWeighing   = 2
)

var (
	// pickingHours: the records come in when the pickers stop, at noon and in the evening.
	pickingHours = hourly{
		0, 0, 0, 0, 0, 0, 0.5, 1, 1, 1, 2, 5, 7, 4, 2, 2, 4, 8, 10, 8, 4, 1.5, 0.4, 0.1,
	}
	certificateHours = hourly{
		0, 0, 0, 0, 0, 0, 0, 0.5, 4, 8, 9, 8, 3, 2, 6, 8, 7, 3, 1, 0.3, 0.1, 0, 0, 0,
	}
	// lorryHours: lorries come in the cool of the morning and before the evening.
	lorryHours = hourly{
		0, 0, 0, 0, 0.3, 2, 6, 9, 10, 9, 7, 5, 3, 2, 2, 3, 5, 7, 8, 6, 3, 1, 0.3, 0.1,
	}
)

// meknes makes summaries of pickings, drafts of certificates, gate queries as
// convoys of lorries come to a weighbridge, and bursts when a press slot opens.
func (g *generator) meknes(days int) {
	summaries := newPopularity(g.random, g.shape.rowsOf("summaries"), meknesTail)
	records := g.shape.rowsOf("records")
	bridges := g.weighbridges(records)
	owners := make([]house, growers)
	for i := range owners {
		owners[i] = house{zone: g.shape.Zones[i%len(g.shape.Zones)], rows: []structs.RowName{summaries.draw(g.random)}}
	}
	for number := range days {
		start := time.Duration(number) * day
		share := 1.0
		if weekday(number) == sunday {
			share = restDayShare
		}
		for _, owner := range owners {
			for _, at := range pickingHours.drawDay(g.random, pickingsPerDay*share) {
				g.series(start+at, pickingParcels, parcelGap, owner.zone, owner.rows[0], ClassPicking)
			}
		}
		for _, at := range certificateHours.drawDay(g.random, certificatesPerDay*share) {
			g.series(start+at, certificateDraws, certificateGap, g.anyZone(), summaries.draw(g.random), ClassCertificate)
		}
		for _, bridge := range bridges {
			for _, at := range lorryHours.drawDay(g.random, convoysPerDay*share) {
				g.convoy(start+at, bridge, records)
			}
		}
		for _, at := range pickingHours.drawDay(g.random, pressBurstsPerDay*share) {
			g.burst(start+at, pressBurstCalls/2+g.random.IntN(pressBurstCalls), pressBurstSpread, summaries.draw(g.random), ClassPicking)
		}
	}
}

// weighbridges gives each zone one, with the records it asks most.
func (g *generator) weighbridges(records []structs.RowName) []house {
	var bridges []house
	order := g.random.Perm(len(records))
	for i, zone := range g.shape.Zones {
		bridge := house{zone: zone}
		for k := range recordsPerWeighing {
			bridge.rows = append(bridge.rows, records[order[(i*recordsPerWeighing+k)%len(order)]])
		}
		bridges = append(bridges, bridge)
	}
	return bridges
}

// series is a few calls of the same class for one row.
func (g *generator) series(at time.Duration, mean float64, gap time.Duration, zone structs.ZoneID, row structs.RowName, class Class) {
	for range geometric(g.random, mean) {
		g.add(at, zone, row, class)
		at += logNormalTime(g.random, gap, thinkSpread)
	}
}

// convoy is some lorries that reach a weighbridge one after another; the clerk
// asks a few times about each.
func (g *generator) convoy(at time.Duration, bridge house, records []structs.RowName) {
	for range geometric(g.random, lorriesPerConvoy) {
		row := bridge.rows[g.random.IntN(len(bridge.rows))]
		if g.random.Float64() < neighbourRecordShare {
			row = records[g.random.IntN(len(records))]
		}
		g.series(at, queriesPerLorry, queryGap, bridge.zone, row, ClassGate)
		at += logNormalTime(g.random, lorryGap, thinkSpread)
	}
}
