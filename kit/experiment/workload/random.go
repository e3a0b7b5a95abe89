package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	day         = 24 * time.Hour
	daysPerWeek = 7

	// The days off, as weekday counts them.
	saturday = 5
	sunday   = 6
)

// popularity draws rows with a long tail: the n-th most popular row has a share
// proportional to n^-exponent. Which row is popular is decided by the seed.
type popularity struct {
	rows       []structs.RowName
	cumulative []float64
}

func newPopularity(random *rand.Rand, rows []structs.RowName, exponent float64) popularity {
	p := popularity{rows: slices.Clone(rows)}
	random.Shuffle(len(p.rows), func(i, j int) { p.rows[i], p.rows[j] = p.rows[j], p.rows[i] })
	total := 0.0
	for i := range p.rows {
		total += math.Pow(float64(i+1), -exponent)
		p.cumulative = append(p.cumulative, total)
	}
	return p
}

func (p popularity) draw(random *rand.Rand) structs.RowName {
	point := random.Float64() * p.cumulative[len(p.cumulative)-1]
	return p.rows[min(sort.SearchFloat64s(p.cumulative, point), len(p.rows)-1)]
}

// hourly holds the relative intensity of each hour of a day.
type hourly [24]float64

// drawDay returns the times within one day of a Poisson number of events with
// the mean, spread by the hourly intensity, in order.
func (h hourly) drawDay(random *rand.Rand, mean float64) []time.Duration {
	total := 0.0
	for _, weight := range h {
		total += weight
	}
	times := make([]time.Duration, 0, int(mean))
	for hour, weight := range h {
		for range poisson(random, mean*weight/total) {
			within := time.Duration(random.Float64() * float64(time.Hour))
			times = append(times, time.Duration(hour)*time.Hour+within)
		}
	}
	slices.Sort(times)
	return times
}

// poisson draws the number of events with the mean, by counting exponential gaps.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		count++
	}
	return count
}

// logNormal draws a positive value with the median and the spread, which is the
// standard deviation of the logarithm.
func logNormal(random *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(random.NormFloat64()*spread)
}

func logNormalTime(random *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(logNormal(random, float64(median), spread))
}

// tokens draws a number of tokens, at least one and at most eight times the median.
func tokens(random *rand.Rand, median int) int {
	const spread, longest = 0.6, 8
	drawn := int(logNormal(random, float64(median), spread))
	return min(max(drawn, 1), longest*median)
}

// geometric draws a count of at least one with the mean.
func geometric(random *rand.Rand, mean float64) int {
	count := 1
	for random.Float64() < 1-1/mean {
		count++
	}
	return count
}

// weekday returns 0 for Monday to 6 for Sunday.
func weekday(number int) int { return number % daysPerWeek }
