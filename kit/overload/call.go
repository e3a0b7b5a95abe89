package overload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Parameters of the generated requests.
const (
	// A prompt has promptBytes bytes, of which the first sharedBytes are one of
	// sharedPrompts prefixes of its row.
	promptBytes   = 4096
	sharedBytes   = 3584
	sharedPrompts = 60
	promptTokens  = promptBytes / engineapi.TokenBytes
	answerTokens  = 64
	callerCount   = 24
)

// requestTimeouts is the time that callers of each priority allow for a complete answer.
var requestTimeouts = [structs.PriorityCount]time.Duration{30 * time.Second, 10 * time.Second, 4 * time.Second}

// arrivalSeed is the second PCG seed of the arrivals. They do not depend on the policy.
const arrivalSeed = 1 << 32

// call is one request as observed by its caller, in virtual time.
type call struct {
	request structs.Request
	label   string
	router  int
	timeout time.Duration
	// retried reports whether the call repeats a refused one.
	retried bool

	arrivedAt time.Duration
	firstAt   time.Duration
	endedAt   time.Duration
	attempts  int
	// estimated and waited are the queueing times that the router estimated and
	// measured for the first attempt.
	estimated time.Duration
	waited    time.Duration
	tokens    int
	terminals int
	refusal   *structs.Rejection
}

func (c *call) inTime() bool {
	return c.terminals == 1 && c.refusal == nil && c.endedAt <= c.arrivedAt+c.timeout
}

// stream is a Poisson arrival process of calls with common properties.
type stream struct {
	label       string
	from, until time.Duration
	// rate is in calls per second.
	rate float64
	// caller, row and priority are fixed, or drawn for each call if drawEach.
	caller   int
	row      int
	priority int
}

// drawEach selects a random value for each call.
const drawEach = -1

// priorityShares holds the shares of batch, standard and live calls in a mixed stream.
var priorityShares = [structs.PriorityCount]float64{0.2, 0.3, 0.5}

// arrivals returns the calls of the stream in order of arrival.
func (s stream) arrivals(random *rand.Rand) []*call {
	var arriving []*call
	at := s.from
	for {
		at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
		if at >= s.until {
			return arriving
		}
		arriving = append(arriving, s.newCall(at, random))
	}
}

func (s stream) newCall(at time.Duration, random *rand.Rand) *call {
	priority := drawPriority(random)
	if s.priority != drawEach {
		priority = structs.Priority(s.priority)
	}
	caller := choose(random, s.caller, callerCount)
	row := structs.RowName(fmt.Sprintf("row-%d", choose(random, s.row, rowCount)))
	return &call{
		request: structs.Request{
			Row: row, Prompt: newPrompt(random), MaxTokens: answerTokens,
			Priority: priority, Caller: fmt.Sprintf("caller-%d", caller),
		},
		label:     s.label,
		router:    random.IntN(routerCount),
		timeout:   requestTimeouts[priority],
		arrivedAt: at,
	}
}

// choose returns wanted, or a random number in [0, count) if wanted is drawEach.
// It draws a number in either case.
func choose(random *rand.Rand, wanted, count int) int {
	drawn := random.IntN(count)
	if wanted == drawEach {
		return drawn
	}
	return wanted
}

func drawPriority(random *rand.Rand) structs.Priority {
	drawn := random.Float64()
	for priority, share := range priorityShares {
		if drawn < share {
			return structs.Priority(priority)
		}
		drawn -= share
	}
	return structs.PriorityLive
}

// newPrompt returns a prompt with a shared prefix and a unique suffix. The index of
// the prefix is the square of a uniform variable, scaled to sharedPrompts.
func newPrompt(random *rand.Rand) string {
	drawn := random.Float64()
	beginning := fmt.Sprintf("%03d ", int(drawn*drawn*sharedPrompts))
	ending := fmt.Sprintf("%016x", random.Uint64())
	return strings.Repeat(beginning, sharedBytes/len(beginning)) + strings.Repeat(ending, (promptBytes-sharedBytes)/len(ending))
}
