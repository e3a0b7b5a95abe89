package workload

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The member software houses of Padano and their habits.
const (
	houses            = 14
	sessionsPerDay    = 45.0
	callsPerSession   = 9.0
	thinkTime         = 40 * time.Second
	thinkSpread       = 0.9
	searchShare       = 0.35
	ownRowShare       = 0.75
	weekendShare      = 0.06
	teamBurstsPerDay  = 7.0
	teamBurstCalls    = 24
	teamBurstSpread   = 4 * time.Second
	reviewCalls       = 90
	reviewGap         = 4 * time.Second
	reviewStartHour   = 1
	reviewStartSpread = 3 * time.Hour
	reviewChance      = 0.8
	padanoTail        = 1.1
)

// officeHours has peaks in the morning and in the afternoon and a long lunch.
var officeHours = hourly{
	0.1, 0.05, 0.02, 0.02, 0.02, 0.1, 0.4, 1.5, 6, 10, 11, 9, 4, 5, 9, 10, 9, 6, 3, 1.2, 0.8, 0.6, 0.4, 0.2,
}

// house is one member with its zone and the rows it uses most.
type house struct {
	zone   structs.ZoneID
	rows   []structs.RowName
	search structs.RowName
	review structs.RowName
	// reviewAt is when its nightly review begins, by the house's own timetable.
	reviewAt time.Duration
}

// padano makes editor sessions of the houses' developers with searches in
// between, bursts of a whole team, and nightly reviews.
func (g *generator) padano(days int) {
	answers := newPopularity(g.random, g.shape.rowsOf("answers"), padanoTail)
	search := newPopularity(g.random, g.shape.rowsOf("search"), padanoTail)
	members := g.houses(answers, search)
	for number := range days {
		start := time.Duration(number) * day
		share := 1.0
		if weekday(number) >= saturday {
			share = weekendShare
		}
		for _, member := range members {
			for _, at := range officeHours.drawDay(g.random, sessionsPerDay*share) {
				g.editorSession(start+at, member, answers, search)
			}
			if weekday(number) < saturday && g.random.Float64() < reviewChance {
				g.review(start+member.reviewAt, member)
			}
		}
		for _, at := range officeHours.drawDay(g.random, teamBurstsPerDay*share) {
			g.burst(start+at, teamBurstCalls/2+g.random.IntN(teamBurstCalls), teamBurstSpread, answers.draw(g.random), ClassEditor)
		}
	}
}

func (g *generator) houses(answers, search popularity) []house {
	const ownRows = 4
	list := make([]house, houses)
	for i := range list {
		list[i] = house{
			zone: g.shape.Zones[i%len(g.shape.Zones)], search: search.draw(g.random), review: answers.draw(g.random),
			reviewAt: reviewStartHour*time.Hour + time.Duration(g.random.Float64()*float64(reviewStartSpread)),
		}
		for range ownRows {
			list[i].rows = append(list[i].rows, answers.draw(g.random))
		}
	}
	return list
}

// editorSession is a developer who calls one row again and again for a while.
func (g *generator) editorSession(at time.Duration, member house, answers, search popularity) {
	row := answers.draw(g.random)
	if g.random.Float64() < ownRowShare {
		row = member.rows[g.random.IntN(len(member.rows))]
	}
	for range geometric(g.random, callsPerSession) {
		if g.random.Float64() < searchShare {
			g.add(at, member.zone, member.searchRow(g, search), ClassSearch)
		} else {
			g.add(at, member.zone, row, ClassEditor)
		}
		at += logNormalTime(g.random, thinkTime, thinkSpread)
	}
}

func (h house) searchRow(g *generator, search popularity) structs.RowName {
	if g.random.Float64() < ownRowShare {
		return h.search
	}
	return search.draw(g.random)
}

// review is a nightly batch over a house's changes, a few calls at a time.
func (g *generator) review(at time.Duration, member house) {
	const jitter = 10 * time.Minute
	at += time.Duration(g.random.Float64() * float64(jitter))
	for range reviewCalls/2 + g.random.IntN(reviewCalls) {
		g.add(at, member.zone, member.review, ClassReview)
		at += logNormalTime(g.random, reviewGap, thinkSpread)
	}
}
