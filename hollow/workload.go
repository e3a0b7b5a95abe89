package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// requestDeadline is what callers give a request.
	requestDeadline = 30 * time.Second
	// requestTokens bounds an answer.
	requestTokens = 512
	// hotAdapters is how many adapters of each zone are in steady use, by hotShare
	// of its requests.
	hotAdapters = 40
	hotShare    = 0.3
	// elsewhereShare is the part of the cold requests for rows of other zones.
	elsewhereShare = 0.1
	// inUsePart is the part of the adapters that requests are for.
	inUsePart = 8
)

// workload makes the requests of one zone and counts what becomes of them.
type workload struct {
	running  bool
	sent     int
	coldSent int
	open     int
	answered int
	refused  int
	cut      int
	noRouter int
	tokens   uint64
	// refusedBy counts refusals by kind and execution.
	refusedBy  map[string]int
	firstToken []float64
	coldStart  []float64
	gaps       []float64
	models     []structs.RowName
	hot        []structs.RowName
	cold       []structs.RowName
	foreign    []structs.RowName
	last       int
}

// times keeps the latencies of an answered request, in seconds.
func (w *workload) times(c *callRecord) {
	first := time.Duration(c.firstAt - c.arrivedAt).Seconds()
	if c.cold {
		w.coldStart = append(w.coldStart, first)
	} else {
		w.firstToken = append(w.firstToken, first)
	}
	w.gaps = append(w.gaps, time.Duration(c.gap).Seconds())
}

// inUse reports whether requests of the run may be for the row.
func (s *site) inUse(name structs.RowName) bool { return s.used[name] }

func rowsUsed(rows []structs.Row, options Options) map[structs.RowName]bool {
	used := map[structs.RowName]bool{}
	for _, row := range rows[:options.Models+options.Adapters/inUsePart] {
		used[row.Name] = true
	}
	return used
}

// prepare chooses the rows that the zone's callers ask for, by its grants.
func (z *zoneSite) prepare() {
	w := &z.load
	w.refusedBy = map[string]int{}
	state := z.voters[0].member.machine.state
	for _, row := range z.site.rows[:z.site.options.Models] {
		w.models = append(w.models, row.Name)
	}
	adapters := z.site.rows[z.site.options.Models:]
	for _, index := range z.random.Perm(len(adapters)) {
		name := adapters[index].Name
		switch {
		case !z.site.inUse(name):
		case state.Grant(name).Limit == 0:
			w.foreign = append(w.foreign, name)
		case len(w.hot) < hotAdapters:
			w.hot = append(w.hot, name)
		default:
			w.cold = append(w.cold, name)
		}
	}
}

// startLoad begins the streams of requests.
func (z *zoneSite) startLoad() {
	options := z.site.options
	zones := float64(options.Zones)
	z.load.running = true
	z.arrivals(options.PeakRequests*options.Share/zones, z.sendWarm)
	z.arrivals(options.LoadsPerHour/time.Hour.Seconds()/zones, z.sendCold)
}

// arrivals is a Poisson process.
func (z *zoneSite) arrivals(rate float64, send func()) {
	if rate <= 0 {
		return
	}
	wait := time.Duration(z.random.ExpFloat64() / rate * float64(time.Second))
	z.after(wait, func() {
		if z.load.running {
			send()
			z.arrivals(rate, send)
		}
	})
}

// sendWarm sends a request for a model or an adapter in steady use; low numbers
// are asked for more.
func (z *zoneSite) sendWarm() {
	rows := z.load.models
	if len(z.load.hot) > 0 && z.random.Float64() < hotShare {
		rows = z.load.hot
	}
	skew := z.random.Float64()
	z.request(rows[int(skew*skew*float64(len(rows)))], false)
}

// sendCold sends a request for a row that is not loaded.
func (z *zoneSite) sendCold() {
	rows := &z.load.cold
	if len(z.load.foreign) > 0 && z.random.Float64() < elsewhereShare {
		rows = &z.load.foreign
	}
	if len(*rows) == 0 {
		return
	}
	name := (*rows)[0]
	*rows = (*rows)[1:]
	z.request(name, true)
}

// request sends a request to a router of the zone that is ready.
func (z *zoneSite) request(row structs.RowName, cold bool) {
	w := &z.load
	w.last++
	request := structs.Request{
		ID:         structs.RequestID(fmt.Sprintf("%s-%d", z.id, w.last)),
		Row:        row,
		Prompt:     fmt.Sprintf("Explain number %d of %s, please.", w.last, z.id),
		MaxTokens:  requestTokens,
		Priority:   structs.PriorityLive,
		Caller:     fmt.Sprintf("caller-%d", z.random.IntN(50)),
		ArrivedAt:  z.time(),
		DeadlineAt: z.time().Add(requestDeadline),
	}
	if z.random.Float64() < z.site.options.KeyedShare {
		request.IdempotencyKey = fmt.Sprintf("%s:%d", z.id, w.last)
	}
	chosen := z.readyRouter()
	if chosen == nil {
		w.noRouter++
		return
	}
	w.sent++
	w.open++
	if cold {
		w.coldSent++
	}
	record := &callRecord{request: request, arrivedAt: z.now, cold: cold, checkText: w.last%textCheckEvery == 0}
	chosen.arrive(record)
}

func (r *routerNode) arrive(record *callRecord) {
	r.requests[record.request.ID] = record
	r.step(router.Arrived{Request: record.request})
}

// readyRouter chooses a router that has the table and takes requests.
func (z *zoneSite) readyRouter() *routerNode {
	first := z.random.IntN(len(z.routers))
	for offset := range z.routers {
		chosen := z.routers[(first+offset)%len(z.routers)]
		if chosen.owner.alive && !chosen.draining && chosen.sinceTable > 0 {
			return chosen
		}
	}
	return nil
}

// forward hands a request to a router of another zone.
func (r *routerNode) forward(effect router.Forward) {
	home := r.owner.zone
	record := r.requests[effect.ID]
	delete(r.requests, effect.ID)
	life := r.owner.life
	failed := func() {
		if !r.current(life) {
			record.end(home, outcomeCut, nil)
			return
		}
		r.requests[effect.ID] = record
		r.step(router.ForwardFailed{
			ID: effect.ID, Row: record.request.Row, Repeatable: record.request.Repeatable(), Stage: router.NotSent, Error: brokenError(),
		})
	}
	for _, id := range effect.Zones {
		target := home.site.zoneByID(id)
		if target == nil || !home.site.connected(home, target, home.now) {
			continue
		}
		delay := delayBetween(home, target)
		home.load.open--
		home.post(target.partition, delay, func() {
			chosen := target.readyRouter()
			if chosen == nil {
				target.post(home.partition, delay, func() {
					home.load.open++
					failed()
				})
				return
			}
			target.load.open++
			record.request.Forwarded = true
			chosen.arrive(record)
		})
		return
	}
	home.after(0, failed)
}
