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
	// soonInterval passes between two looks for what is expected soon.
	soonInterval = time.Minute
	// leastSoon and mostSoon bound the rows of which a use is expected soon.
	leastSoon = 0.02
	mostSoon  = 256
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
	// watched has the hours in which uses were observed at all.
	watched rhythm
	// soon is what was expected at soonAt.
	soon   []Expectation
	soonAt time.Time
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

// Watch notes that the uses at this time are observed, also when there are none.
// An hour that nobody watched says nothing about any row.
func (r *Rhythms) Watch(now time.Time) { r.watched.mark(now) }

// Observe notes a use of the row.
func (r *Rhythms) Observe(now time.Time, row structs.RowName) {
	r.Watch(now)
	known := r.rows[row]
	if known == nil {
		if len(r.rows) >= maxRhythms {
			return
		}
		known = &rhythm{}
		r.rows[row] = known
	}
	known.mark(now)
}

// mark sets the bit of the time's day and hour.
func (h *rhythm) mark(now time.Time) {
	kind, number := kindOf(dayNumber(now))
	h.shift(kind, number)
	h.used[kind][now.Hour()] |= 1
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

// earlier returns the bits of the hour on the days before the numbered one.
func (h *rhythm) earlier(kind dayKind, number, hour int) uint8 {
	used := h.used[kind][hour]
	// The newest bit is of the day h.newest.
	if passed := number - h.newest[kind]; passed > 0 {
		return used << min(passed-1, rhythmDays)
	}
	return used >> 1
}

// Soon returns what is expected within an hour of now, looked up at most once a
// minute. It also forgets the rows that were not used for all remembered days.
func (r *Rhythms) Soon(now time.Time) []Expectation {
	if passed := now.Sub(r.soonAt); r.soonAt.IsZero() || passed >= soonInterval || passed < 0 {
		r.forget(now)
		r.soon, r.soonAt = r.Expected(now, leastSoon, mostSoon), now
	}
	return r.soon
}

// forget drops the rows of which nothing is left to know.
func (r *Rhythms) forget(now time.Time) {
	kind, number := kindOf(dayNumber(now))
	for row, known := range r.rows {
		known.shift(kind, number)
		if known.used == (rhythm{}).used {
			delete(r.rows, row)
		}
	}
}

// Expected returns the rows that are likely to be used within an hour of now, at
// least with the probability, the most likely first and at most so many (positive).
func (r *Rhythms) Expected(now time.Time, least float64, most int) []Expectation {
	part := float64(now.Minute()) / 60
	present := r.hourUnused(now, 1-part)
	next := r.hourUnused(now.Add(time.Hour), part)
	var list []Expectation
	for row, known := range r.rows {
		probability := 1 - present.of(known)*next.of(known)
		if probability < least {
			continue
		}
		list = append(list, Expectation{row, probability})
		if len(list) >= 2*most {
			list = likeliest(list, most)
			least = max(least, list[len(list)-1].Probability)
		}
	}
	return likeliest(list, most)
}

// likeliest returns so many of the list, which it orders, the most likely first.
func likeliest(list []Expectation, most int) []Expectation {
	slices.SortFunc(list, func(a, b Expectation) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Row, b.Row))
	})
	return list[:min(len(list), most)]
}

// unusedHour holds, by the number of days on which a row was used in an hour, the
// probability that it is not used in a part of that hour.
type unusedHour struct {
	kind         dayKind
	number, hour int
	byDays       [rhythmDays + 1]float64
}

// hourUnused is about the part of the hour of the time. The probability of a use in
// the whole hour is the share of the earlier days of the same kind on which the row
// was used in that hour, of those on which the hour was watched.
func (r *Rhythms) hourUnused(at time.Time, part float64) unusedHour {
	kind, number := kindOf(dayNumber(at))
	hour := unusedHour{kind: kind, number: number, hour: at.Hour()}
	watched := bits.OnesCount8(r.watched.earlier(kind, number, hour.hour))
	for days := range hour.byDays {
		used := float64(min(days, watched)) / (float64(watched) + rhythmPrior)
		hour.byDays[days] = math.Pow(1-used, part)
	}
	return hour
}

func (u unusedHour) of(known *rhythm) float64 {
	return u.byDays[bits.OnesCount8(known.earlier(u.kind, u.number, u.hour))]
}
