package site

import "time"

// RouteKind says what may be done with a request whose outcome is not known.
type RouteKind uint8

// The kinds of route.
const (
	// KindOnce: a request runs at most once.
	KindOnce RouteKind = iota + 1
	// KindRepeatable: a request may run any number of times.
	KindRepeatable
	// KindStream: the answer is a stream of events. The request runs at most once,
	// unless the route is Resumable.
	KindStream
)

// Document is one version of a site's configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys is set if callers of routes that are not Public must present the key of a
	// tenant.
	RequiresKeys bool
	Tenants      []Tenant
}

// Route says which requests go to which services, and on which terms.
type Route struct {
	Name string
	// Host and PathPrefix select requests; the longest prefix of a host wins.
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Split divides the requests over services by weight.
	Split []Share
	// MaxAttempts is the most runners that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued by another runner.
	Resumable bool
	// Sticky requests share prompt prefixes.
	Sticky bool
	// Public routes need no key.
	Public bool
	// Regions are those in which requests may be served and kept; empty for all.
	Regions []string
}

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Service is a set of runners that serve the same requests.
type Service struct {
	Name string
	// HealthPath is where a runner tells whether it is healthy.
	HealthPath string
	// MaxConnections is the most connections that one runner takes.
	MaxConnections int
	// ColdRate is how many requests a second a cold runner bears; 0 if cold runners bear as many as others.
	ColdRate float64
	// Engine is nil for services whose runners load no models.
	Engine *Engine
}

// Engine describes the runners of a service that load models.
type Engine struct {
	// Slots is how many requests a runner executes at once.
	Slots int
	// CacheTokens is the memory of a runner for prompts and answers.
	CacheTokens int
	// WeightsMB is the memory of a runner for models and adapters.
	WeightsMB float64
	// MaxAdapters is the most adapters that a runner holds.
	MaxAdapters int
	// LoadsPerSecond is what the weight store allows over all runners.
	LoadsPerSecond float64
	Models         []Model
	// byName is made by NewIndex; nil before.
	byName map[string]*Model
}

// Model is a model that the runners of a service can load.
type Model struct {
	Name   string
	SizeMB float64
	// LoadTime, DiskLoadTime and MemoryLoadTime are how long a load takes from the
	// weight store, the runner's disk and the memory of its machine.
	LoadTime       time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Adapters is how many adapters the model has.
	Adapters  int
	AdapterMB float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ModelByName returns the model, or nil.
func (e *Engine) ModelByName(name string) *Model {
	if e.byName != nil {
		return e.byName[name]
	}
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// indexModels makes ModelByName quick. The first of two models with a name counts.
func (e *Engine) indexModels() {
	e.byName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		if model := &e.Models[i]; e.byName[model.Name] == nil {
			e.byName[model.Name] = model
		}
	}
}
