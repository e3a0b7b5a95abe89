package fleet

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// DefaultSlots is the assumed number of slots of a runner that has not reported it.
const DefaultSlots = 16

// Heartbeat is a runner's periodic report of its state.
type Heartbeat struct {
	// Instance names one incarnation of the runner and is never reused; see Incarnation. On the
	// wire it is the runner's ID, and Born identifies the incarnation.
	Instance string
	// Born is the start time in Unix milliseconds; 0 if not reported.
	Born    int64
	Service string
	// Address is IP:port. It may be reused by another runner after this one has ended.
	Address string
	Zone    string
	// Version is that of the runner's software, not of its models; empty if unknown.
	Version string
	Slots   int
	// Leaving runners take no new requests. They end after EndsIn, if that is not 0.
	Leaving bool
	EndsIn  time.Duration
	// ColdFor is the remaining cold period.
	ColdFor time.Duration
	// Sequence increases with each heartbeat of an instance.
	Sequence uint64
	Models   []LoadedModel
	// InMemory and OnDisk list the models of which the runner's machine has a copy.
	InMemory []string
	OnDisk   []string
}

// IsRepeatedBy reports whether a later heartbeat carries no new state.
func (h Heartbeat) IsRepeatedBy(later Heartbeat) bool {
	return h.Instance == later.Instance && h.Born == later.Born && h.Service == later.Service && h.Address == later.Address &&
		h.Zone == later.Zone && h.Version == later.Version && h.Slots == later.Slots && h.Leaving == later.Leaving && h.EndsIn == later.EndsIn &&
		(h.ColdFor > 0) == (later.ColdFor > 0) && slices.Equal(h.InMemory, later.InMemory) && slices.Equal(h.OnDisk, later.OnDisk) &&
		slices.EqualFunc(h.Models, later.Models, LoadedModel.Equal)
}

// LoadedModel is a loaded model with its adapters.
type LoadedModel struct {
	Name     string
	Adapters []string
}

// Equal reports whether both are the same model with the same adapters.
func (m LoadedModel) Equal(other LoadedModel) bool {
	return m.Name == other.Name && slices.Equal(m.Adapters, other.Adapters)
}

// Runner is the state of a runner as routers see it.
type Runner struct {
	// Instance names one incarnation of the runner. In encoded views it is the ID, with the start
	// time in Born, which is 0 everywhere else.
	Instance string
	Born     int64
	Service  string
	Address  string
	Zone     string
	// Version is that of the runner's software; empty if unknown or sent by a leader of the previous version.
	Version string `msgpack:",omitempty"`
	Slots   int
	Leaving bool
	// Slow runners take longer than others for the same work. Only routers of the previous version
	// use it; others use Pace.
	Slow bool
	// Pace is the estimated processing speed; zero if unknown or sent by a leader of the previous
	// version.
	Pace pace.Runner
	// Failing runners fail many of their requests. They get requests only if no other runner can
	// take them.
	Failing bool
	// Cold runners get only requests for which the leader granted a token; see package ratelimit.
	Cold bool
	// Limit is the rate limit that the runner sets, in requests per second over all routers; 0 if
	// none is known. Requests to such runners need tokens, too.
	Limit float64 `msgpack:",omitempty"`
	// Brittle is how many rejections in a second the runners of the service bear; 0 unless they are brittle. Requests to
	// brittle runners need slots lent by the leader; see package slotlease.
	Brittle float64 `msgpack:",omitempty"`
	// Recalled runners have not sent a heartbeat to the current leader, which does not know whether
	// they are cold.
	Recalled bool
	// Models are ready to serve requests.
	Models []LoadedModel
	// Unconfirmed is set by a Directory for runners that the current leader has not listed yet. It
	// is never sent.
	Unconfirmed bool `msgpack:"-"`
}

// Load is the load of a runner from all routers together.
type Load struct {
	Instance string
	Requests int
	// Reading is the recent share of time that the runner spent processing prompts, estimated from
	// its pace: at 1 or above it cannot keep up; 0 if unknown.
	Reading float64
}

// Equal reports whether both describe the same state.
func (r Runner) Equal(other Runner) bool { return r.equals(&other) }

// equals is Equal without copies.
func (r *Runner) equals(other *Runner) bool {
	return r.Instance == other.Instance && r.Service == other.Service && r.Address == other.Address &&
		r.Zone == other.Zone && r.Version == other.Version && r.Slots == other.Slots && r.Leaving == other.Leaving && r.Slow == other.Slow && r.Pace == other.Pace && r.Failing == other.Failing &&
		r.Cold == other.Cold && r.Limit == other.Limit && r.Brittle == other.Brittle && r.Recalled == other.Recalled && areModelsEqual(r.Models, other.Models)
}

// areModelsEqual reports whether both lists are the same. It compares no models of lists that share
// their memory.
func areModelsEqual(models, others []LoadedModel) bool {
	if len(models) == len(others) && (len(models) == 0 || &models[0] == &others[0]) {
		return true
	}
	return slices.EqualFunc(models, others, LoadedModel.Equal)
}

// View is the set of runners that a leader sends to routers.
type View struct {
	Runners []Runner
	// Complete is false while a new leader may not have heard from every runner. Unlisted runners
	// are then unknown rather than gone.
	Complete bool
	// Gone lists the instances that have certainly stopped taking requests.
	Gone []string
	// Partial views list only changed runners in Runners, and the removed ones in Removed.
	Partial bool
	Removed []string
}

// Equal reports whether both views list the same runners.
func (v View) Equal(other View) bool {
	return v.Complete == other.Complete && slices.Equal(v.Gone, other.Gone) &&
		slices.EqualFunc(v.Runners, other.Runners, Runner.Equal)
}
