package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/traffic"
	"github.com/lotusferry/lotusferry/placement/site"
)

// metrics are the router's metrics. The number of series does not depend on the number of routes or
// models.
type metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	first         *prometheus.HistogramVec
	waited        *prometheus.HistogramVec
	unserved      *prometheus.HistogramVec
	late          *prometheus.CounterVec
	inFlight      prometheus.Gauge
	repeats       *prometheus.CounterVec
	retryExtra    prometheus.Gauge
	version       prometheus.Gauge
	runners       prometheus.Gauge
	leaderTerm    prometheus.Gauge
	leaderHeardAt prometheus.Gauge
	loadsAt       prometheus.Gauge
	// followsRelay is 1 while the router watches a relay, controllerChanges counts the changes to
	// another controller by what is watched then.
	followsRelay      prometheus.Gauge
	controllerChanges *prometheus.CounterVec
	tenants           *prometheus.CounterVec
	draws             prometheus.Histogram
	// zonesLost is the number of zones currently unreachable, zoneLosses the number of transitions
	// to that state.
	zonesLost  prometheus.Gauge
	zoneLosses prometheus.Counter
	zoneProbes prometheus.Counter
	// peersKnown is the number of known peers, cutOff is 1 while this router reaches no runner of some service
	// directly. peerSent counts requests sent through peers, peerProbes the connects made to learn the ways to
	// runners, and tunnels the tunnels that peers asked for.
	peersKnown prometheus.Gauge
	cutOff     prometheus.Gauge
	peerSent   prometheus.Counter
	peerProbes *prometheus.CounterVec
	tunnels    *prometheus.CounterVec
	// lateness is the delay of the router's timers; overloaded is 1 while the router closes
	// connections because of it.
	lateness          prometheus.Gauge
	overloaded        prometheus.Gauge
	connectionsClosed prometheus.Counter
	// admissionLimit is the limit of new connections per second, 0 for none; connectionsRefused counts those closed unread.
	admissionLimit     prometheus.Gauge
	connectionsRefused *prometheus.CounterVec
	// coldRequests counts the requests to cold runners that the leader granted.
	coldRequests prometheus.Counter
	// limitedRunners is the number of runners known to announce a rate limit, limitedSent counts
	// sends to them.
	limitedRunners prometheus.Gauge
	limitedSent    *prometheus.CounterVec
	// coolingRunners is the number of runners in a cooldown requested from this router, cooldownsRequested
	// counts such requests. unwantedSent counts sends to runners that cool down or are leaving.
	coolingRunners     prometheus.Gauge
	cooldownsRequested prometheus.Counter
	unwantedSent       *prometheus.CounterVec
	// brittleRejections counts the requests that brittle runners rejected.
	brittleRejections prometheus.Counter
	// slotClaims counts claims of slots of brittle runners.
	slotClaims *prometheus.CounterVec
	// traffic counts the bytes exchanged with controllers and runners.
	traffic *traffic.Counter
	// copies counts the decisions on copies of streams, copiedBytes estimates the bytes that they may
	// have moved. continuations counts the lost streams that had a copy.
	// mixedServices is the number of services with runners of several software versions. takeUps counts the streams that
	// clients take up, streamNotes the records of streams for registrars.
	mixedServices prometheus.Gauge
	takeUps       *prometheus.CounterVec
	streamNotes   *prometheus.CounterVec
	copies        *prometheus.CounterVec
	copiedBytes   prometheus.Counter
	continuations *prometheus.CounterVec
	// successors counts the searches for another runner in place of a silent one, by what followed.
	successors *prometheus.CounterVec
	// named are the tenants with their own series.
	named sync.Map
	count atomic.Int32
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1, 1.5, 2.5, 4, 6, 10, 20}

// newMetrics creates the metrics and registers them, unless options.Metrics is nil.
func newMetrics(options Options) *metrics {
	const namespace, subsystem = "lotusferry", "router"
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: latencyBuckets,
		}, labels)
	}
	made := &metrics{
		requests:   counter("requests_total", "Requests by kind of route and outcome.", "kind", "outcome"),
		attempts:   counter("attempts_total", "Sendings to runners by outcome.", "outcome"),
		first:      histogram("first_seconds", "Time until the head of the answer was sent.", "kind"),
		waited:     histogram("waited_seconds", "Time that requests waited for runners.", "kind"),
		unserved:   histogram("unserved_seconds", "Time that requests were held which no runner has run in the end.", "kind"),
		late:       counter("late_total", "Answers after the route's objective or with too long a pause.", "kind"),
		inFlight:   gauge("requests_in_progress", "Requests that have no answer yet."),
		repeats:    counter("repeats_total", "Repeated sendings asked for, by whether the retry budget allowed them.", "allowed"),
		retryExtra: gauge("retry_extra", "Repeated sendings in each window that the router may use beyond its share of its own requests."),
		version:    gauge("document_version", "Version of the document in force."),
		runners:    gauge("runners", "Runners in the view."),
		leaderTerm: gauge("leader_term", "Term of the leader that is followed."),
		tenants:    counter("tenant_requests_total", "Requests by tenant and what its key and limit made of them.", "tenant", "outcome"),
		draws: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "limit_draw_seconds",
			Help: "Time of a question for parts of limits.", Buckets: latencyBuckets,
		}),
		zonesLost:          gauge("zones_out_of_reach", "Zones of which no runner can be reached."),
		zoneLosses:         counter("zone_losses_total", "Times that a zone got out of reach.").WithLabelValues(),
		zoneProbes:         counter("zone_probes_total", "Connects made to learn whether a zone is reached.").WithLabelValues(),
		peersKnown:         gauge("peers", "Routers through which this one may reach runners."),
		cutOff:             gauge("cut_off", "1 while the router reaches no runner of some service directly."),
		peerSent:           counter("peer_sendings_total", "Sendings to runners through a peer.").WithLabelValues(),
		peerProbes:         counter("path_probes_total", "Connects made to learn the way to a runner, by way and outcome.", "way", "outcome"),
		tunnels:            counter("tunnels_total", "Tunnels that peers asked this router for, by outcome.", "outcome"),
		lateness:           gauge("timers_late_seconds", "By how much the timers of the process usually are late."),
		overloaded:         gauge("at_limit", "1 while the router lets connections go as its machine is too slow for them."),
		coldRequests:       counter("cold_requests_granted_total", "Requests to cold runners that the leader granted to this router.").WithLabelValues(),
		limitedRunners:     gauge("limited_runners", "Runners that name a rate limit, as this router knows."),
		limitedSent:        counter("limited_sendings_total", "Sendings to runners that name a rate limit, by whether the request was sent before.", "repeated"),
		coolingRunners:     gauge("resting_runners", "Runners that asked this router for rest that is not over."),
		cooldownsRequested: counter("rests_asked_total", "Times that a runner asked this router for rest, or for a longer one.").WithLabelValues(),
		unwantedSent: counter("unwanted_sendings_total",
			"Sendings to runners that had asked for rest, or said in an answer that they are leaving.", "runner", "repeated"),
		brittleRejections:  counter("brittle_rejections_total", "Requests of this router that brittle runners rejected for want of room.").WithLabelValues(),
		slotClaims:         counter("slot_claims_total", "Claims of slots of brittle runners, by outcome: answered or failed.", "outcome"),
		mixedServices:      gauge("mixed_services", "Services with runners of several software versions, now or as long ago as a stream may last."),
		takeUps:            counter("takeups_total", "Streams that clients took up, by what followed.", "verdict"),
		streamNotes:        counter("stream_notes_total", "Records of streams for controllers, by outcome: sent or failed.", "outcome"),
		copies:             counter("stream_copies_total", "Decisions on copying a stream to a standby.", "decision"),
		copiedBytes:        counter("stream_copied_bytes_total", "Bytes that copies of streams may have moved.").WithLabelValues(),
		continuations:      counter("continuations_total", "Lost streams that had a copy, by what followed.", "outcome"),
		successors:         counter("successors_total", "Times that another runner was sought in place of a silent one, by what followed.", "outcome"),
		connectionsClosed:  counter("connections_let_go_total", "Connections of callers closed after an answer for that.").WithLabelValues(),
		admissionLimit:     gauge("admitted_connections_per_second", "New connections of callers per second that the router reads while its timers are late; 0 while it reads all."),
		connectionsRefused: counter("connections_refused_total", "New connections of callers closed unread, by reason: late (timers of the process) or full.", "reason"),
		loadsAt:            gauge("loads_timestamp_seconds", "As of when the work of other routers at the runners is known, in Unix time."),
		followsRelay:       gauge("follows_relay", "1 while the router watches a relay and not the leader."),
		controllerChanges:  counter("controller_changes_total", "Times that the router began to watch another controller, by which: zone, region or leader.", "to"),
		leaderHeardAt:      gauge("leader_heard_timestamp_seconds", "When the leader was last heard, in Unix time."),
	}
	made.traffic = newTraffic(options)
	if registerer := options.Metrics; registerer != nil {
		registerer.MustRegister(made.traffic, made.requests, made.attempts, made.first, made.waited, made.unserved, made.late, made.inFlight,
			made.repeats, made.retryExtra, made.version, made.runners, made.leaderTerm, made.leaderHeardAt, made.loadsAt, made.followsRelay, made.controllerChanges, made.tenants, made.draws,
			made.zonesLost, made.zoneLosses, made.zoneProbes, made.brittleRejections, made.slotClaims, made.peersKnown, made.cutOff, made.peerSent, made.peerProbes, made.tunnels,
			made.lateness, made.overloaded, made.connectionsClosed, made.admissionLimit, made.connectionsRefused, made.coldRequests,
			made.limitedRunners, made.limitedSent, made.coolingRunners, made.cooldownsRequested, made.unwantedSent,
			made.mixedServices, made.takeUps, made.streamNotes, made.copies, made.copiedBytes, made.continuations, made.successors)
	}
	return made
}

// kindName returns the label of a kind of route.
func kindName(kind site.RouteKind) string {
	switch kind {
	case site.KindOnce:
		return "once"
	case site.KindRepeatable:
		return "repeatable"
	case site.KindStream:
		return "stream"
	}
	return "none"
}

// heardLeader records contact with a leader.
func (m *metrics) heardLeader(term uint64, at time.Time) {
	m.leaderTerm.Set(float64(term))
	m.leaderHeardAt.Set(float64(at.UnixMilli()) / 1000)
}

// heardLoads records the time of the latest load reports.
func (m *metrics) heardLoads(at time.Time) { m.loadsAt.Set(float64(at.UnixMilli()) / 1000) }

const (
	// maxTenantSeries bounds the tenants with their own series. Further tenants share the series
	// otherTenants.
	maxTenantSeries = 64
	otherTenants    = "others"
	noTenant        = "none"
)

// tenant counts a request of a tenant. The name is empty for a request without one.
func (m *metrics) tenant(name, outcome string) {
	m.tenants.WithLabelValues(m.tenantLabel(name), outcome).Inc()
}

func (m *metrics) tenantLabel(name string) string {
	if name == "" {
		return noTenant
	}
	if _, isKnown := m.named.Load(name); isKnown {
		return name
	}
	if m.count.Load() >= maxTenantSeries {
		return otherTenants
	}
	if _, isKnown := m.named.LoadOrStore(name, struct{}{}); !isKnown {
		m.count.Add(1)
	}
	return name
}
