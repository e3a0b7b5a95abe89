package domainnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/traffic"
)

// metrics holds the Prometheus metrics of a controller.
type metrics struct {
	leads       prometheus.Gauge
	leaderships prometheus.Counter
	heartbeats  *prometheus.CounterVec
	puts        *prometheus.CounterVec
	departures  *prometheus.CounterVec
	drains      *prometheus.CounterVec
	drained     prometheus.Gauge
	cold        prometheus.Gauge
	limited     prometheus.Gauge
	warmups     *prometheus.CounterVec
	// slots are those of brittle runners, lent to routers or withheld, and claims the claims of routers to them.
	slots      *prometheus.GaugeVec
	claims     *prometheus.CounterVec
	orders     *prometheus.CounterVec
	orderTime  prometheus.Histogram
	reports    *prometheus.CounterVec
	membership *prometheus.CounterVec
	runners    prometheus.Gauge
	routers    prometheus.Gauge
	waiting    prometheus.Gauge
	version    prometheus.Gauge
	reopened   prometheus.Counter
	// storeWriteTime is the time of synced writes to the store of the replicated log.
	storeWriteTime prometheus.Histogram
	// tickDelay is how late ticks of the group are handled, roundTripTime the time of its messages.
	tickDelay     prometheus.Histogram
	roundTripTime prometheus.Histogram
	// mirrorAge, relayedWatches and relayedRouters describe this controller as a relay; relays
	// is the number of relays of this leader.
	mirrorAge      prometheus.Gauge
	relayedWatches *prometheus.CounterVec
	relayedRouters prometheus.Gauge
	// peerRouters is the number of routers through which others may reach runners, as the leader knows.
	peerRouters prometheus.Gauge
	// streamRecords is the number of streams of which this controller knows the version, and streamNotes counts them.
	streamRecords prometheus.Gauge
	streamNotes   prometheus.Counter
	relays        prometheus.Gauge
	loadTime      *prometheus.HistogramVec
	loadExcess    *prometheus.HistogramVec
	unmet         *prometheus.GaugeVec
	storeLoads    *prometheus.GaugeVec
	storeLimit    *prometheus.GaugeVec
	coverage      *prometheus.GaugeVec
	zoneBound     *prometheus.GaugeVec
	coldBound     *prometheus.GaugeVec
	evacuated     *prometheus.GaugeVec
	waitedModels  *prometheus.GaugeVec
	stepTime      prometheus.Histogram
	earlyViews    prometheus.Counter
	lost          prometheus.Gauge
	losses        prometheus.Counter
	suspects      *prometheus.GaugeVec
	trials        *prometheus.CounterVec
	failing       prometheus.Counter
	promptRate    *prometheus.GaugeVec
	eventTime     *prometheus.GaugeVec
	capacity      *prometheus.GaugeVec
	paceError     *prometheus.GaugeVec
	speeds        *prometheus.GaugeVec
	// tenantShare, tenantWaiting and tenantLimit cover the tenants listed in the summary.
	tenantShare   *prometheus.GaugeVec
	tenantWaiting *prometheus.GaugeVec
	tenantLimit   *prometheus.GaugeVec
	// traffic counts the bytes of calls to other controllers.
	traffic *traffic.Counter
}

// newMetrics returns the metrics, registered with options.Metrics unless it is nil.
func newMetrics(options Options) *metrics {
	const namespace, subsystem = "lotusferry", "controller"
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	seconds := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
			Buckets: []float64{0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 12, 20},
		}, []string{"source"})
	}
	m := &metrics{
		leads:       gauge("leads", "1 while this controller leads."),
		leaderships: counter("leaderships_total", "Leaderships that this controller began."),
		heartbeats:  vector("heartbeats_total", "Heartbeats of runners that came here, by outcome.", "outcome"),
		puts:        vector("documents_total", "Documents that came here, by outcome.", "outcome"),
		departures:  vector("departures_total", "Departures of runners that came here, by outcome.", "outcome"),
		drains:      vector("zone_orders_total", "Orders of operators to drain zones, or to end that, that came here, by outcome.", "outcome"),
		drained:     gauge("drained_zones", "Zones whose runners get no new requests by an operator's order."),
		limited:     gauge("limited_runners", "Runners that name a rate limit, as routers told."),
		cold:        gauge("cold_runners", "Runners that bear few requests a second, as they are cold."),
		warmups:     vector("cold_requests_total", "Requests that routers asked to send to runners that bear few a second, by answer: granted or later.", "answer"),
		slots:       gauges("brittle_slots", "Slots of brittle runners, by state: lent, or withheld after rejections.", "state"),
		claims:      vector("slot_claims_total", "Claims of routers to slots of brittle runners, by answer: granted, later, or pending at a new leader.", "answer"),
		orders:      vector("orders_total", "Orders sent to runners, by operation and outcome.", "operation", "outcome"),
		orderTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "order_seconds", Help: "Time until an order was answered.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1},
		}),
		reports:      vector("reports_total", "Questions to runners about what they hold, by outcome.", "outcome"),
		membership:   vector("membership_changes_total", "Changes of the group's members, by change.", "change"),
		runners:      gauge("runners", "Runners in the view of this leader."),
		routers:      gauge("routers", "Routers that share what is granted."),
		waiting:      gauge("waiting_requests", "Requests that no runner can serve yet, as reported by routers."),
		version:      gauge("document_version", "Version of the document that this leader works by."),
		loadTime:     seconds("load_seconds", "Time from the order of a load to the news of its end, by source: store or copy."),
		loadExcess:   seconds("load_excess_seconds", "By how much loads took longer than was expected, by source: store or copy."),
		unmet:        gauges("unmet_models", "Models that should be loaded and are not, by obstacle.", "obstacle"),
		storeLoads:   gauges("store_loads", "Loads from the weight store under way, by service.", "service"),
		storeLimit:   gauges("store_limit", "Loads at once that the weight store is believed to serve at full speed, by service.", "service"),
		zoneBound:    gauges("zone_bound_models", "Models in demand that are ready in one zone alone, though their service has several.", "service"),
		coldBound:    gauges("cold_bound_models", "Models in demand that are ready at cold runners alone.", "service"),
		evacuated:    gauges("evacuated_models", "Models in demand that only runners of drained zones hold, and that are not being loaded elsewhere.", "service"),
		coverage:     gauges("models", "Models by service and where they are: loaded, coming, copied (on a machine's disk or in its memory only) or absent.", "service", "where"),
		waitedModels: gauges("waited_models", "Models that requests wait for and that no runner loads yet: gathering, due or unreachable.", "turn"),
		stepTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "step_seconds", Help: "Time that one step of the leader took: beliefs, plan and view.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1},
		}),
		storeWriteTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "store_write_seconds", Help: "Time of a synced write to the store, during which this controller commits nothing.",
			Buckets: []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10},
		}),
		tickDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "tick_delay_seconds", Help: "How late a tick of the replicated group was handled: the time for which it waited for the processor.",
			Buckets: []float64{0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1},
		}),
		roundTripTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "round_trip_seconds", Help: "Time until another controller answered a batch of messages of the replicated group.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1},
		}),
		lost:           gauge("lost_runners", "Runners taken for lost, as several routers could not reach them."),
		losses:         counter("runner_losses_total", "Runners whose connections broke while requests were under way there."),
		suspects:       gauges("suspected_requests", "Requests that may crash runners, by state: suspected or refused.", "state"),
		failing:        counter("runner_rests_total", "Times that a runner that fails what it is sent was let rest."),
		trials:         vector("trials_total", "Questions whether to run a suspected request, by answer.", "answer"),
		tenantShare:    gauges("tenant_share", "Work done for a tenant over its share of it, of the tenants that stand out.", "tenant"),
		tenantWaiting:  gauges("tenant_waiting_requests", "Requests of a tenant that wait at all routers, of the tenants that stand out.", "tenant"),
		tenantLimit:    gauges("tenant_limit_used", "Part of its limit that a tenant was granted in the last window, of the tenants that stand out.", "tenant"),
		earlyViews:     counter("early_views_total", "Views that a router was told of at once, since its requests wait for what is new in them."),
		promptRate:     gauges("prompt_tokens_per_second", "Prompt tokens that the usual runner reads a second, as learned, by service; 0 until it is known.", "service"),
		eventTime:      gauges("event_seconds", "Time between two events of a stream at the usual runner while it reads no prompt, as learned, by service.", "service"),
		capacity:       gauges("borne_requests_per_second", "Requests a second that a usual runner is believed to bear, by service.", "service"),
		paceError:      gauges("pace_error_ratio", "Mean part by which forecasts of the time between two events were wrong, by service.", "service"),
		speeds:         gauges("runner_speeds", "Runners by service and speed: slow, or unknown as nothing tells.", "service", "speed"),
		mirrorAge:      gauge("mirror_age_seconds", "Time since this controller, as a relay, asked for the leader's state that it has, as of the last answer or failure."),
		relayedWatches: vector("relayed_watches_total", "Watches of routers that came to this controller as a relay, by outcome: changed, unchanged or redirected.", "outcome"),
		relayedRouters: gauge("relayed_routers", "Routers that watch this controller as a relay."),
		peerRouters:    gauge("peer_routers", "Routers that accept tunnels of their peers, as the leader knows."),
		relays:         gauge("relays", "Controllers that pass the state of this leader on to routers."),
		streamRecords:  gauge("stream_records", "Streams of which this controller knows the software version that began them."),
		streamNotes:    counter("stream_notes_total", "Records of streams that routers sent here."),
		reopened:       counter("store_failures_total", "Times that the store failed and was opened again."),
	}
	m.traffic = traffic.NewCounter(subsystem, options.Zone, options.Regions)
	if registerer := options.Metrics; registerer != nil {
		registerer.MustRegister(m.traffic, m.leads, m.leaderships, m.heartbeats, m.puts, m.departures, m.orders, m.orderTime,
			m.reports, m.membership, m.runners, m.routers, m.waiting, m.version, m.reopened,
			m.loadTime, m.loadExcess, m.unmet, m.storeLoads, m.storeLimit, m.coverage, m.zoneBound, m.coldBound, m.evacuated, m.waitedModels,
			m.stepTime, m.storeWriteTime, m.tickDelay, m.roundTripTime, m.earlyViews, m.lost, m.losses, m.suspects, m.trials, m.failing, m.drains, m.drained, m.cold, m.limited, m.warmups, m.slots, m.claims,
			m.promptRate, m.eventTime, m.capacity, m.paceError, m.speeds,
			m.mirrorAge, m.relayedWatches, m.relayedRouters, m.peerRouters, m.relays, m.streamRecords, m.streamNotes,
			m.tenantShare, m.tenantWaiting, m.tenantLimit)
	}
	return m
}

// outcomeName returns the outcome label for a call's error.
func outcomeName(err error) string {
	if err == nil {
		return "taken"
	}
	return "refused"
}
