package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/internal/transport"
)

// metricsHandler serves the daemon's metrics in the Prometheus format.
func (d *Daemon) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	registerTransport(registry, "server", d.server.Stats)
	registerTransport(registry, "client", d.client.Stats)
	if d.global != nil {
		registerGroup(registry, globalGroupName, d.global.group)
	}
	if d.zone != nil {
		registerGroup(registry, "zone", d.zone.group)
		registerGauge(registry, "lotusferry_zone_table_revision", "Table revision that the zone has adopted.", nil,
			func() float64 { return float64(d.zone.tableRevision()) })
	}
	if d.router != nil {
		d.router.metrics.register(registry)
		d.router.answers.register(registry)
		registerGauge(registry, "lotusferry_router_open_requests", "Requests that wait or run in this router.", nil,
			func() float64 { return float64(d.router.openCalls()) })
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

func registerGauge(registry *prometheus.Registry, name, help string, labels prometheus.Labels, value func() float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, value))
}

func registerCounter(registry *prometheus.Registry, name, help string, labels prometheus.Labels, value func() float64) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value))
}

func registerTransport(registry *prometheus.Registry, end string, stats func() transport.Stats) {
	labels := prometheus.Labels{"end": end}
	registerCounter(registry, "lotusferry_transport_received_bytes_total", "Bytes received from other daemons.", labels,
		func() float64 { return float64(stats().BytesIn) })
	registerCounter(registry, "lotusferry_transport_sent_bytes_total", "Bytes sent to other daemons.", labels,
		func() float64 { return float64(stats().BytesOut) })
}

func registerGroup(registry *prometheus.Registry, name string, member *group.Group) {
	labels := prometheus.Labels{"group": name}
	registerGauge(registry, "lotusferry_group_term", "Term of the group.", labels,
		func() float64 { return float64(member.Status().Term) })
	registerGauge(registry, "lotusferry_group_applied_index", "Index of the last applied log entry.", labels,
		func() float64 { return float64(member.Status().AppliedIndex) })
	registerGauge(registry, "lotusferry_group_is_leader", "1 while this daemon leads the group.", labels,
		func() float64 { return boolValue(member.Status().IsLeader) })
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
