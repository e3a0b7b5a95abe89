package workload

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Parameters of the Padano workload, which models developers at software houses.
const (
	clientCount        = 14
	sessionsPerDay     = 45.0
	callsPerSession    = 9.0
	thinkTime          = 40 * time.Second
	thinkSpread        = 0.9
	searchShare        = 0.35
	ownRowShare        = 0.75
	weekendShare       = 0.06
	teamBurstsPerDay   = 7.0
	teamBurstCalls     = 24
	teamBurstSpread    = 4 * time.Second
	reviewCalls        = 90
	reviewGap          = 4 * time.Second
	reviewStartHour    = 1
	reviewStartSpread  = 3 * time.Hour
	reviewProbability  = 0.8
	padanoZipfExponent = 1.1
)

// officeHours peaks in the morning and in the afternoon.
var officeHours = hourlyWeights{
	0.1, 0.05, 0.02, 0.02, 0.02, 0.1, 0.4, 1.5, 6, 10, 11, 9, 4, 5, 9, 10, 9, 6, 3, 1.2, 0.8, 0.6, 0.4, 0.2,
}

// client is a source of calls in one zone, with its most used rows.
type client struct {
	zone   structs.ZoneID
	rows   []structs.RowName
	search structs.RowName
	review structs.RowName
	// reviewAt is the time of day at which the nightly review starts.
	reviewAt time.Duration
}

// padano adds editor sessions with interleaved searches, team bursts and nightly
// reviews.
func (g *generator) padano(days int) {
	answers := newPopularity(g.random, g.shape.rowsOf("answers"), padanoZipfExponent)
	search := newPopularity(g.random, g.shape.rowsOf("search"), padanoZipfExponent)
	members := g.newClients(answers, search)
	for number := range days {
		start := time.Duration(number) * day
		share := 1.0
		if weekday(number) >= saturday {
			share = weekendShare
		}
		for _, member := range members {
			for _, at := range officeHours.sampleDay(g.random, sessionsPerDay*share) {
				g.editorSession(start+at, member, answers, search)
			}
			if weekday(number) < saturday && g.random.Float64() < reviewProbability {
				g.review(start+member.reviewAt, member)
			}
		}
		for _, at := range officeHours.sampleDay(g.random, teamBurstsPerDay*share) {
			g.burst(start+at, teamBurstCalls/2+g.random.IntN(teamBurstCalls), teamBurstSpread, answers.sample(g.random), ClassEditor)
		}
	}
}

func (g *generator) newClients(answers, search popularity) []client {
	const ownRows = 4
	list := make([]client, clientCount)
	for i := range list {
		list[i] = client{
			zone: g.shape.Zones[i%len(g.shape.Zones)], search: search.sample(g.random), review: answers.sample(g.random),
			reviewAt: reviewStartHour*time.Hour + time.Duration(g.random.Float64()*float64(reviewStartSpread)),
		}
		for range ownRows {
			list[i].rows = append(list[i].rows, answers.sample(g.random))
		}
	}
	return list
}

// editorSession adds a session of editor calls to one row, mixed with searches.
func (g *generator) editorSession(at time.Duration, member client, answers, search popularity) {
	row := answers.sample(g.random)
	if g.random.Float64() < ownRowShare {
		row = member.rows[g.random.IntN(len(member.rows))]
	}
	for range geometric(g.random, callsPerSession) {
		if g.random.Float64() < searchShare {
			g.add(at, member.zone, member.searchRow(g, search), ClassSearch)
		} else {
			g.add(at, member.zone, row, ClassEditor)
		}
		at += logNormalDuration(g.random, thinkTime, thinkSpread)
	}
}

func (h client) searchRow(g *generator, search popularity) structs.RowName {
	if g.random.Float64() < ownRowShare {
		return h.search
	}
	return search.sample(g.random)
}

// review adds a nightly batch of review calls that starts near the given time.
func (g *generator) review(at time.Duration, member client) {
	const jitter = 10 * time.Minute
	at += time.Duration(g.random.Float64() * float64(jitter))
	for range reviewCalls/2 + g.random.IntN(reviewCalls) {
		g.add(at, member.zone, member.review, ClassReview)
		at += logNormalDuration(g.random, reviewGap, thinkSpread)
	}
}
