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

	// Weekend days, as returned by weekday.
	saturday = 5
	sunday   = 6
)

// popularity samples rows from a Zipf distribution: the n-th most popular row has
// probability proportional to n^-exponent. The ranking is a random permutation.
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

func (p popularity) sample(random *rand.Rand) structs.RowName {
	point := random.Float64() * p.cumulative[len(p.cumulative)-1]
	return p.rows[min(sort.SearchFloat64s(p.cumulative, point), len(p.rows)-1)]
}

// hourlyWeights holds the relative arrival rate for each hour of the day.
type hourlyWeights [24]float64

// sampleDay returns the sorted event times of one day, sampled from a Poisson
// process with the given mean count and hourly rates.
func (h hourlyWeights) sampleDay(random *rand.Rand, mean float64) []time.Duration {
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

// poisson samples a Poisson count with the given mean by summing exponential gaps.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		count++
	}
	return count
}

// logNormal samples a log-normal value. The spread is the standard deviation of
// the logarithm.
func logNormal(random *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(random.NormFloat64()*spread)
}

func logNormalDuration(random *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(logNormal(random, float64(median), spread))
}

// sampleTokens samples a token count between one and eight times the median.
func sampleTokens(random *rand.Rand, median int) int {
	const spread, longest = 0.6, 8
	drawn := int(logNormal(random, float64(median), spread))
	return min(max(drawn, 1), longest*median)
}

// geometric samples a geometric count of at least one with the given mean.
func geometric(random *rand.Rand, mean float64) int {
	count := 1
	for random.Float64() < 1-1/mean {
		count++
	}
	return count
}

// weekday returns the day of the week of a day number, from 0 for Monday to 6 for
// Sunday.
func weekday(number int) int { return number % daysPerWeek }
