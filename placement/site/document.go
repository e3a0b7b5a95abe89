package site

import (
	"slices"
	"time"
)

// RouteKind is how a request may be handled if its outcome is unknown.
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
	// RequiresKeys is set if callers of routes that are not Public must present a tenant's
	// key.
	RequiresKeys bool
	Tenants      []Tenant
}

// Route selects requests and says which services serve them, and on what terms.
type Route struct {
	Name string
	// Host and PathPrefix select requests; the longest matching prefix of a host wins.
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time that a request may be held.
	Timeout time.Duration
	// Objective is the target time for an answer, or for its first event.
	Objective time.Duration
	// MaxPause is the target for the longest pause between the events of a stream.
	MaxPause time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Split distributes the requests over services by weight.
	Split []Share
	// MaxAttempts is the maximum number of runners that one request is sent to.
	MaxAttempts int
	// Resumable streams may be continued by another runner.
	Resumable bool
	// Sticky requests share prompt prefixes.
	Sticky bool
	// Public routes need no key.
	Public bool
	// Regions are where requests may be served and stored; empty means all regions.
	Regions []string
}

// Share is a service's share of the requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// LeadsTo reports whether the route leads to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service })
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Service is a set of runners that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of a runner's health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one runner.
	MaxConnections int
	// ColdRate is the maximum requests per second for a cold runner; 0 sets no such limit.
	ColdRate float64
	// Engine is nil for services whose runners load no models.
	Engine *Engine
}

// Engine describes the runners of a service that load models.
type Engine struct {
	// Slots is how many requests a runner executes concurrently.
	Slots int
	// CacheTokens is a runner's memory for prompts and answers, in tokens.
	CacheTokens int
	// WeightsMB is a runner's memory for models and adapters, in MB.
	WeightsMB float64
	// MaxAdapters is the maximum number of adapters on a runner.
	MaxAdapters int
	// LoadsPerSecond is the rate limit of the weight store over all runners.
	LoadsPerSecond float64
	// Backups is set if the runners copy the memory of running streams to each other on request.
	// TokenBytes is the memory of one token, LinkMbps the bandwidth of a runner in Mbit/s, and
	// HandleTTL how long a copy is kept after its last part. Without TokenBytes or LinkMbps no stream
	// is copied.
	Backups    bool
	TokenBytes int64
	LinkMbps   float64
	HandleTTL  time.Duration
	Models     []Model
	// modelsByName is set by NewIndex.
	modelsByName map[string]*Model
}

// Model is a model that the runners of a service can load.
type Model struct {
	Name   string
	SizeMB float64
	// LoadTime, DiskLoadTime and MemoryLoadTime are the load times from the weight store,
	// the runner's disk and its machine's memory.
	LoadTime       time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Adapters is the number of adapters of the model.
	Adapters  int
	AdapterMB float64
}

// Limits bound a caller's requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ModelByName returns the named model, or nil if there is none.
func (e *Engine) ModelByName(name string) *Model {
	if e.modelsByName != nil {
		return e.modelsByName[name]
	}
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// indexModels builds the index of ModelByName. The first of several models with a name
// counts.
func (e *Engine) indexModels() {
	e.modelsByName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		if model := &e.Models[i]; e.modelsByName[model.Name] == nil {
			e.modelsByName[model.Name] = model
		}
	}
}

// LongestTimeout returns the longest timeout of the routes.
func (d *Document) LongestTimeout() (longest time.Duration) {
	for i := range d.Routes {
		longest = max(longest, d.Routes[i].Timeout)
	}
	return longest
}
