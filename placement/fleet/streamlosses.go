package fleet

import (
	"math"
	"time"
)

const (
	// lossWindow is the time constant with which sent and lost streams are forgotten.
	lossWindow = 10 * time.Second
	// assumedStreams is added to the number of streams sent, so that one loss among the first few
	// streams does not count as a high rate.
	assumedStreams = 10
	// forgottenStreams is the decayed number of streams below which a service is forgotten.
	forgottenStreams = 0.001
	// minLossRate is the least rate that is worth reporting: lower ones are assumed of any runner.
	minLossRate = 0.006
)

// StreamCount counts the streams of a service that a router sent, and those lost with their runner, since
// its last report.
type StreamCount struct {
	Service string
	Sent    int
	Lost    int
}

// StreamLosses is the decaying rate of lost streams per stream sent. The zero value has seen none.
type StreamLosses struct {
	sent, lost float64
	at         time.Time
}

// Add records streams.
func (l *StreamLosses) Add(now time.Time, sent, lost int) {
	l.decay(now)
	l.sent += float64(sent)
	l.lost += float64(lost)
}

// Rate returns the losses per stream sent.
func (l *StreamLosses) Rate(now time.Time) float64 {
	l.decay(now)
	return l.lost / (l.sent + assumedStreams)
}

func (l *StreamLosses) decay(now time.Time) {
	passed := now.Sub(l.at)
	if l.at.IsZero() {
		l.at = now
	}
	if passed <= 0 {
		return
	}
	kept := math.Exp(-passed.Seconds() / lossWindow.Seconds())
	l.sent *= kept
	l.lost *= kept
	l.at = now
}

// LossTracker sums up the reports of all routers by service. Create one with NewLossTracker.
type LossTracker struct{ services map[string]*StreamLosses }

// NewLossTracker returns a LossTracker without reports.
func NewLossTracker() *LossTracker {
	return &LossTracker{services: make(map[string]*StreamLosses)}
}

// Observe records a report.
func (t *LossTracker) Observe(now time.Time, counts []StreamCount) {
	for _, each := range counts {
		known := t.services[each.Service]
		if known == nil {
			known = &StreamLosses{}
			t.services[each.Service] = known
		}
		known.Add(now, max(0, each.Sent), max(0, each.Lost))
	}
}

// Rates returns the rates of the services that lose more streams than is assumed of any; nil if there is
// none.
func (t *LossTracker) Rates(now time.Time) map[string]float64 {
	var rates map[string]float64
	for service, losses := range t.services {
		if losses.Rate(now); losses.sent+losses.lost < forgottenStreams {
			delete(t.services, service)
			continue
		}
		if rate := losses.Rate(now); rate > minLossRate {
			if rates == nil {
				rates = make(map[string]float64)
			}
			rates[service] = rate
		}
	}
	return rates
}
