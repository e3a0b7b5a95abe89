package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/structs"
)

// requestMetrics holds the metrics of a router's requests. Times are in seconds.
type requestMetrics struct {
	accepted prometheus.Counter
	answered prometheus.Counter
	refused  *prometheus.CounterVec
	// queue is the time from arrival to the first send to an engine or another zone.
	queue prometheus.Histogram
	// firstToken is the time from arrival to the first token.
	firstToken prometheus.Histogram
	// betweenTokens is the time between consecutive tokens of an answer.
	betweenTokens prometheus.Histogram
}

// Exponential buckets of the histograms, in seconds.
const (
	firstBucket  = 0.001
	bucketFactor = 2
	bucketCount  = 18
)

func newRequestMetrics() *requestMetrics {
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, bucketCount)})
	}
	return &requestMetrics{
		accepted: prometheus.NewCounter(prometheus.CounterOpts{Name: "lotusferry_requests_total", Help: "Requests that came to this router."}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{Name: "lotusferry_requests_answered_total", Help: "Requests answered in whole."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lotusferry_requests_refused_total",
			Help: "Requests refused, by the kind of error and whether they ran."}, []string{"kind", "execution"}),
		queue:         histogram("lotusferry_request_queue_seconds", "Time from arrival to the first sending."),
		firstToken:    histogram("lotusferry_request_first_token_seconds", "Time from arrival to the first token."),
		betweenTokens: histogram("lotusferry_request_between_tokens_seconds", "Time between two tokens of an answer."),
	}
}

func (m *requestMetrics) register(registry *prometheus.Registry) {
	registry.MustRegister(m.accepted, m.answered, m.refused, m.queue, m.firstToken, m.betweenTokens)
}

func (m *requestMetrics) end(refusal *structs.Rejection) {
	if refusal == nil {
		m.answered.Inc()
		return
	}
	m.refused.WithLabelValues(string(refusal.Error.Kind), string(refusal.Execution)).Inc()
}

// callTimes holds the times of one call for the metrics.
type callTimes struct {
	arrived time.Time
	token   time.Time
}

// sentAt records the first send of a call.
func (m *requestMetrics) sentAt(open *call, now time.Time) {
	if !open.sent {
		m.queue.Observe(now.Sub(open.times.arrived).Seconds())
	}
}

// tokenAt records a token of a call.
func (m *requestMetrics) tokenAt(open *call, now time.Time) {
	if open.times.token.IsZero() {
		m.firstToken.Observe(now.Sub(open.times.arrived).Seconds())
	} else {
		m.betweenTokens.Observe(now.Sub(open.times.token).Seconds())
	}
	open.times.token = now
}
