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
	// rhythmDays is how many days of each kind are remembered.
	rhythmDays = 8
	// rhythmPrior is the number of unseen days without use that the estimate
	// begins with, so that one day is not taken for a habit at full weight.
	rhythmPrior = 0.5
	// maxRhythms bounds the rows that are remembered.
	maxRhythms = 100_000
)

// dayKind tells working days from the days of the weekend.
type dayKind int

const (
	workingDay dayKind = iota
	weekendDay
	dayKinds
)

// Rhythms remembers, for each row, in which hours of the last days it was used,
// working days and weekends apart. The hours are those of the times' location. It
// is for one goroutine.
type Rhythms struct {
	rows map[structs.RowName]*rhythm
	// firstDay is the number of the first day that was observed.
	firstDay int
	started  bool
}

// rhythm has a bit for each remembered day and hour, the newest day lowest.
type rhythm struct {
	used [dayKinds][hoursPerDay]uint8
	// newest is the number of days of the kind up to the newest one.
	newest [dayKinds]int
}

// Expectation is the probability that a row is used within the next hour.
type Expectation struct {
	Row         structs.RowName
	Probability float64
}

// NewRhythms returns rhythms of which nothing is known.
func NewRhythms() *Rhythms { return &Rhythms{rows: map[structs.RowName]*rhythm{}} }

// dayNumber numbers the days since Monday, 5 January 1970.
func dayNumber(at time.Time) int {
	const mondayOffset = 3
	_, offset := at.Zone()
	days := (at.Unix() + int64(offset)) / int64(hoursPerDay*3600)
	return int(days) + mondayOffset
}

// kindOf returns the kind of a day, and how many days of that kind came before it.
func kindOf(day int) (dayKind, int) {
	const workingDays, week = 5, 7
	weeks, within := day/week, day%week
	if within < workingDays {
		return workingDay, weeks*workingDays + within
	}
	return weekendDay, weeks*(week-workingDays) + within - workingDays
}

// Observe notes a use of the row.
func (r *Rhythms) Observe(now time.Time, row structs.RowName) {
	day := dayNumber(now)
	if !r.started {
		r.started, r.firstDay = true, day
	}
	known := r.rows[row]
	if known == nil {
		if len(r.rows) >= maxRhythms {
			return
		}
		known = &rhythm{}
		r.rows[row] = known
	}
	kind, number := kindOf(day)
	known.shift(kind, number)
	known.used[kind][now.Hour()] |= 1
}

// shift makes the numbered day the newest of its kind.
func (h *rhythm) shift(kind dayKind, number int) {
	passed := number - h.newest[kind]
	if passed <= 0 {
		return
	}
	h.newest[kind] = number
	for hour := range h.used[kind] {
		h.used[kind][hour] <<= min(passed, rhythmDays)
	}
}

// Expected returns the rows that are likely to be used within an hour of now, at
// least with the probability, the most likely first and at most so many.
func (r *Rhythms) Expected(now time.Time, least float64, most int) []Expectation {
	var list []Expectation
	for row, known := range r.rows {
		if probability := r.probability(known, now); probability >= least {
			list = append(list, Expectation{row, probability})
		}
	}
	slices.SortFunc(list, func(a, b Expectation) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Row, b.Row))
	})
	return list[:min(len(list), most)]
}

// probability is that of a use within the hour from now, which is part of the
// present hour and part of the next one.
func (r *Rhythms) probability(known *rhythm, now time.Time) float64 {
	part := float64(now.Minute()) / 60
	unused := math.Pow(1-r.hourProbability(known, now), 1-part)
	unused *= math.Pow(1-r.hourProbability(known, now.Add(time.Hour)), part)
	return 1 - unused
}

// hourProbability is the share of the earlier days of the same kind on which the
// row was used in the hour of the time.
func (r *Rhythms) hourProbability(known *rhythm, at time.Time) float64 {
	day := dayNumber(at)
	kind, number := kindOf(day)
	_, first := r.firstOf(kind)
	days := min(number-first, rhythmDays)
	if days <= 0 {
		return 0
	}
	used := known.used[kind][at.Hour()]
	// The newest bit is of the day known.newest; bits are wanted of days before today.
	if passed := number - known.newest[kind]; passed > 0 {
		used <<= min(passed-1, rhythmDays)
	} else {
		used >>= 1
	}
	return float64(bits.OnesCount8(used)) / (float64(days) + rhythmPrior)
}

// firstOf returns the first observed day of the kind, and its number among them.
func (r *Rhythms) firstOf(kind dayKind) (day, number int) {
	for day = r.firstDay; ; day++ {
		if found, number := kindOf(day); found == kind {
			return day, number
		}
	}
}
