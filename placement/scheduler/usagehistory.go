package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	hoursPerDay = 24
	// historyDays is how many days of each kind are remembered.
	historyDays = 8
	// historyPrior is the pseudo-count of days without use in an estimate, so that a
	// single day of use does not yield certainty.
	historyPrior = 0.5
	// maxHistoryRows bounds the remembered rows.
	maxHistoryRows = 100_000
	// soonInterval is the minimum time between two computations in Soon.
	soonInterval = time.Minute
	// minSoonProbability and maxSoonRows bound the result of ExpectedSoon.
	minSoonProbability = 0.02
	maxSoonRows        = 256
)

// dayKind distinguishes working days from weekend days.
type dayKind int

const (
	workingDay dayKind = iota
	weekendDay
	dayKinds
)

// UsageHistory records in which hours of recent days each row was used, with working days
// and weekend days apart. Hours are in the location of the given times. It is not safe
// for concurrent use.
type UsageHistory struct {
	rows map[structs.RowName]*hourlyBits
	// observed has the hours during which uses were being observed.
	observed hourlyBits
	// soon is the result computed at soonAt.
	soon   []Expectation
	soonAt time.Time
}

// hourlyBits has one bit per remembered day and hour; the newest day is the lowest bit.
type hourlyBits struct {
	used [dayKinds][hoursPerDay]uint8
	// newestDay is the number of the newest day of each kind.
	newestDay [dayKinds]int
}

// Expectation is the probability that a row is used within the next hour.
type Expectation struct {
	Row         structs.RowName
	Probability float64
}

// NewUsageHistory returns an empty history.
func NewUsageHistory() *UsageHistory { return &UsageHistory{rows: map[structs.RowName]*hourlyBits{}} }

// dayNumber numbers the days in the time's location, from 0 on Monday, 29 December 1969.
func dayNumber(at time.Time) int {
	const mondayOffset = 3
	_, offset := at.Zone()
	days := (at.Unix() + int64(offset)) / int64(hoursPerDay*3600)
	return int(days) + mondayOffset
}

// kindOf returns the kind of the day, and the number of earlier days of that kind.
func kindOf(day int) (dayKind, int) {
	const workingDays, week = 5, 7
	weeks, within := day/week, day%week
	if within < workingDays {
		return workingDay, weeks*workingDays + within
	}
	return weekendDay, weeks*(week-workingDays) + within - workingDays
}

// MarkObserved records that uses are being observed at the time, even if there are none. Hours
// that were not observed do not count in the estimates.
func (r *UsageHistory) MarkObserved(now time.Time) { r.observed.mark(now) }

// Observe records a use of the row.
func (r *UsageHistory) Observe(now time.Time, row structs.RowName) {
	r.MarkObserved(now)
	known := r.rows[row]
	if known == nil {
		if len(r.rows) >= maxHistoryRows {
			return
		}
		known = &hourlyBits{}
		r.rows[row] = known
	}
	known.mark(now)
}

// mark sets the bit of the time's day and hour.
func (h *hourlyBits) mark(now time.Time) {
	kind, number := kindOf(dayNumber(now))
	h.shift(kind, number)
	h.used[kind][now.Hour()] |= 1
}

// shift advances the newest day of the kind to the numbered day.
func (h *hourlyBits) shift(kind dayKind, number int) {
	passed := number - h.newestDay[kind]
	if passed <= 0 {
		return
	}
	h.newestDay[kind] = number
	for hour := range h.used[kind] {
		h.used[kind][hour] <<= min(passed, historyDays)
	}
}

// beforeDay returns the bits of the hour for the days before the numbered one.
func (h *hourlyBits) beforeDay(kind dayKind, number, hour int) uint8 {
	used := h.used[kind][hour]
	// The lowest bit is that of h.newestDay.
	if passed := number - h.newestDay[kind]; passed > 0 {
		return used << min(passed-1, historyDays)
	}
	return used >> 1
}

// ExpectedSoon returns the rows expected to be used within an hour of now, computed at most
// once a minute. It also drops the rows without a use in the remembered days.
func (r *UsageHistory) ExpectedSoon(now time.Time) []Expectation {
	if passed := now.Sub(r.soonAt); r.soonAt.IsZero() || passed >= soonInterval || passed < 0 {
		r.forget(now)
		r.soon, r.soonAt = r.Expected(now, minSoonProbability, maxSoonRows), now
	}
	return r.soon
}

// forget drops the rows without a use in the remembered days.
func (r *UsageHistory) forget(now time.Time) {
	kind, number := kindOf(dayNumber(now))
	for row, known := range r.rows {
		known.shift(kind, number)
		if known.used == (hourlyBits{}).used {
			delete(r.rows, row)
		}
	}
}

// Expected returns at most maxRows rows, a positive number, whose probability of a use
// within an hour of now is at least minProbability, the most likely first.
func (r *UsageHistory) Expected(now time.Time, minProbability float64, maxRows int) []Expectation {
	part := float64(now.Minute()) / 60
	present := r.unusedInHour(now, 1-part)
	next := r.unusedInHour(now.Add(time.Hour), part)
	var list []Expectation
	for row, known := range r.rows {
		probability := 1 - present.of(known)*next.of(known)
		if probability < minProbability {
			continue
		}
		list = append(list, Expectation{row, probability})
		if len(list) >= 2*maxRows {
			list = mostLikely(list, maxRows)
			minProbability = max(minProbability, list[len(list)-1].Probability)
		}
	}
	return mostLikely(list, maxRows)
}

// mostLikely sorts the list by decreasing probability and returns its first elements.
func mostLikely(list []Expectation, maxRows int) []Expectation {
	slices.SortFunc(list, func(a, b Expectation) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Row, b.Row))
	})
	return list[:min(len(list), maxRows)]
}

// unusedProbabilities holds, by the number of remembered days on which a row was used
// in an hour, the probability that it is not used in a part of that hour.
type unusedProbabilities struct {
	kind         dayKind
	number, hour int
	byDays       [historyDays + 1]float64
}

// unusedInHour returns the probabilities for a part of the hour of the time. The
// probability of a use in the whole hour is estimated as the share of the observed
// earlier days of the same kind on which the row was used in that hour.
func (r *UsageHistory) unusedInHour(at time.Time, part float64) unusedProbabilities {
	kind, number := kindOf(dayNumber(at))
	hour := unusedProbabilities{kind: kind, number: number, hour: at.Hour()}
	observedDays := bits.OnesCount8(r.observed.beforeDay(kind, number, hour.hour))
	for days := range hour.byDays {
		used := float64(min(days, observedDays)) / (float64(observedDays) + historyPrior)
		hour.byDays[days] = math.Pow(1-used, part)
	}
	return hour
}

func (u unusedProbabilities) of(known *hourlyBits) float64 {
	return u.byDays[bits.OnesCount8(known.beforeDay(u.kind, u.number, u.hour))]
}
