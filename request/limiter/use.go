package limiter

import (
	"math"
	"time"
)

// useAverageTime is the time constant of a tenant's average use, long enough for a router
// with one request per second.
const useAverageTime = 5 * time.Second

// useRate is an exponentially decaying average of a tenant's use at this router.
type useRate struct {
	used  float64
	count float64
	at    time.Time
}

func (u *useRate) add(at time.Time, cost float64) {
	u.decay(at)
	u.used = max(0, u.used+cost)
	u.count = max(0, u.count+math.Copysign(1, cost))
}

func (u *useRate) decay(at time.Time) {
	if passed := at.Sub(u.at); passed > 0 {
		left := math.Exp(-passed.Seconds() / useAverageTime.Seconds())
		u.used *= left
		u.count *= left
		u.at = at
	}
}

// perSecond returns the average use in units per second.
func (u *useRate) perSecond(at time.Time) float64 {
	u.decay(at)
	return u.used / useAverageTime.Seconds()
}

// mean returns the average cost of a request.
func (u *useRate) mean() float64 {
	if u.count <= 0 {
		return 0
	}
	return u.used / u.count
}
