package overload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// What callers ask.
const (
	// promptBytes is the length of a prompt; the first sharedBytes of it are one of
	// sharedPrompts beginnings of its row.
	promptBytes   = 4096
	sharedBytes   = 3584
	sharedPrompts = 60
	promptTokens  = promptBytes / engineapi.TokenBytes
	answerTokens  = 64
	callerCount   = 24
)

// patienceOf is how long callers of each priority wait for a whole answer.
var patienceOf = [structs.PriorityCount]time.Duration{30 * time.Second, 10 * time.Second, 4 * time.Second}

// arrivalsSource numbers the random source of the arrivals: it does not depend on
// the policy.
const arrivalsSource = 1 << 32

// call is one request as its caller sees it. Times are virtual.
type call struct {
	request  structs.Request
	label    string
	router   int
	patience time.Duration
	// returned says that the caller was refused before and came back when told to.
	returned bool

	arrivedAt time.Duration
	firstAt   time.Duration
	endedAt   time.Duration
	attempts  int
	// estimated and waited are what the router says of its first attempt.
	estimated time.Duration
	waited    time.Duration
	tokens    int
	terminals int
	refusal   *structs.Rejection
}

func (c *call) inTime() bool {
	return c.terminals == 1 && c.refusal == nil && c.endedAt <= c.arrivedAt+c.patience
}

// stream is a Poisson process of calls that have something in common.
type stream struct {
	label       string
	from, until time.Duration
	// rate is in calls a second.
	rate float64
	// caller, row and priority are drawn for each call when anyOne.
	caller   int
	row      int
	priority int
}

// anyOne asks for a random choice.
const anyOne = -1

// priorityShares are the parts of batch, standard and live in a mixed stream.
var priorityShares = [structs.PriorityCount]float64{0.2, 0.3, 0.5}

// arrivals draws the calls of the stream, in the order of their arrival.
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
	if s.priority != anyOne {
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
		patience:  patienceOf[priority],
		arrivedAt: at,
	}
}

// choose returns wanted, or a random number below count when it is anyOne.
func choose(random *rand.Rand, wanted, count int) int {
	drawn := random.IntN(count)
	if wanted == anyOne {
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

// newPrompt begins with one of the shared beginnings; which ones are frequent
// follows a square law.
func newPrompt(random *rand.Rand) string {
	drawn := random.Float64()
	beginning := fmt.Sprintf("%03d ", int(drawn*drawn*sharedPrompts))
	ending := fmt.Sprintf("%016x", random.Uint64())
	return strings.Repeat(beginning, sharedBytes/len(beginning)) + strings.Repeat(ending, (promptBytes-sharedBytes)/len(ending))
}
