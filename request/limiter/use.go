package limiter

import (
	"math"
	"time"
)

// useTime is the time over which a tenant's use at a router is averaged: long enough for a
// router that sees a request a second.
const useTime = 5 * time.Second

// useRate is an average of what a tenant uses at this router, in which the past fades.
type useRate struct {
	used  float64
	count float64
	at    time.Time
}

func (u *useRate) add(at time.Time, cost float64) {
	u.fade(at)
	u.used = max(0, u.used+cost)
	u.count = max(0, u.count+math.Copysign(1, cost))
}

func (u *useRate) fade(at time.Time) {
	if passed := at.Sub(u.at); passed > 0 {
		left := math.Exp(-passed.Seconds() / useTime.Seconds())
		u.used *= left
		u.count *= left
		u.at = at
	}
}

// perSecond is the average, in units a second.
func (u *useRate) perSecond(at time.Time) float64 {
	u.fade(at)
	return u.used / useTime.Seconds()
}

// mean is what a request uses on average.
func (u *useRate) mean() float64 {
	if u.count <= 0 {
		return 0
	}
	return u.used / u.count
}
