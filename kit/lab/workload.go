package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/lotusferry/lotusferry/structs"
)

// arrival is a call planned before the run (open loop).
type arrival struct {
	after   time.Duration
	request structs.Request
	// deadline is how long the caller waits.
	deadline time.Duration
	// router is the number of the router to call, from 1; 0 means round-robin.
	router int
}

// requestClass is a class of calls of a workload.
type requestClass struct {
	share    float64
	priority structs.Priority
	deadline time.Duration
	tokens   int
	// keyed tells that calls carry an idempotency key.
	keyed bool
	words int
}

// requestClasses are the classes of calls: interactive, standard and batch requests, and
// requests that may run at most once.
var requestClasses = []requestClass{
	{share: 0.55, priority: structs.PriorityLive, deadline: 15 * time.Second, tokens: 48, words: 60},
	{share: 0.15, priority: structs.PriorityStandard, deadline: 20 * time.Second, tokens: 96, words: 200},
	{share: 0.15, priority: structs.PriorityBatch, deadline: 40 * time.Second, tokens: 160, words: 400},
	{share: 0.15, priority: structs.PriorityLive, deadline: 20 * time.Second, tokens: 64, words: 80, keyed: true},
}

// popularityExponent is the exponent of the Zipf distribution of rows.
const popularityExponent = 1.5

// planArrivals returns Poisson arrivals at rate per second, with Zipf-distributed rows
// in an order that depends on the seed.
func planArrivals(rows []structs.Row, rate float64, duration time.Duration, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	names := rowNames(rows, random)
	weights := popularity(len(names))
	var list []arrival
	for at := nextGap(random, rate); at < duration; at += nextGap(random, rate) {
		class := pickClass(random)
		list = append(list, newArrival(random, at, names[pick(random, weights)], class))
	}
	return list
}

func newArrival(random *rand.Rand, at time.Duration, row structs.RowName, class requestClass) arrival {
	request := structs.Request{
		ID:        structs.RequestID(newID(random)),
		Row:       row,
		MaxTokens: class.tokens,
		Priority:  class.priority,
	}
	request.Prompt = prompt(random, class.words) + " " + string(request.ID)
	if class.keyed {
		request.IdempotencyKey = newID(random)
	}
	return arrival{after: at, request: request, deadline: class.deadline}
}

// newID returns a UUID from the run's random source.
func newID(random *rand.Rand) string {
	var raw uuid.UUID
	for i := range raw {
		raw[i] = byte(random.UintN(math.MaxUint8 + 1))
	}
	return raw.String()
}

// sharedPrefixes is the number of distinct prompt prefixes, which make prefix cache hits
// possible.
const sharedPrefixes = 20

func prompt(random *rand.Rand, words int) string {
	prefix := random.IntN(sharedPrefixes)
	text := ""
	for i := range words {
		text += fmt.Sprintf("word%d-%d ", prefix, i)
	}
	return text
}

func rowNames(rows []structs.Row, random *rand.Rand) []structs.RowName {
	names := make([]structs.RowName, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.Name)
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// popularity returns the cumulative weights of count rows.
func popularity(count int) []float64 {
	weights := make([]float64, count)
	sum := 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -popularityExponent)
		weights[i] = sum
	}
	return weights
}

func pick(random *rand.Rand, cumulative []float64) int {
	target := random.Float64() * cumulative[len(cumulative)-1]
	for i, weight := range cumulative {
		if target < weight {
			return i
		}
	}
	return len(cumulative) - 1
}

func pickClass(random *rand.Rand) requestClass {
	target := random.Float64()
	for _, class := range requestClasses {
		if target < class.share {
			return class
		}
		target -= class.share
	}
	return requestClasses[0]
}

func nextGap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
