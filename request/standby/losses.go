package standby

import (
	"math"
	"time"
)

const (
	// BrokenTTL is how long a runner counts as doubtful after a connection to it broke.
	BrokenTTL = 10 * time.Second
	// lossWindow is the time constant with which sent and lost streams are forgotten.
	lossWindow = 10 * time.Second
	// assumedStreams is added to the number of streams sent, so that one loss among the first few
	// streams does not count as a high rate.
	assumedStreams = 10
)

// Losses is the decaying rate of lost streams per stream sent.
type Losses struct {
	sent, lost float64
	at         time.Time
}

// Sent records that a stream was sent.
func (l *Losses) Sent(now time.Time) {
	l.decay(now)
	l.sent++
}

// Lost records that a stream was lost with its runner.
func (l *Losses) Lost(now time.Time) {
	l.decay(now)
	l.lost++
}

// Rate returns the losses per stream sent.
func (l *Losses) Rate(now time.Time) float64 {
	l.decay(now)
	return l.lost / (l.sent + assumedStreams)
}

func (l *Losses) decay(now time.Time) {
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		kept := math.Exp(-passed.Seconds() / lossWindow.Seconds())
		l.sent *= kept
		l.lost *= kept
	}
	l.at = now
}
