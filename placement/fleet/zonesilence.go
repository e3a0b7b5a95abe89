package fleet

import "time"

const (
	// leastZoneRunners is how many runners a zone must have for its silence to tell more than that of
	// each of them.
	leastZoneRunners = 3
	// zoneGapFactor times the usual time between two heartbeats of any of its runners is after how long
	// a zone is silent, zoneSilence the least: runners that were started together send theirs together.
	zoneGapFactor = 5
	zoneSilence   = 400 * time.Millisecond
)

// zoneBeats is when a zone was heard last, and how often it usually is.
type zoneBeats struct {
	runners int
	// pauses is the sum of the usual pauses of its runners.
	pauses  time.Duration
	heardAt time.Time
}

// limit is after how long without any heartbeat the zone is silent.
func (z *zoneBeats) limit() time.Duration {
	usual := z.pauses / time.Duration(z.runners) / time.Duration(z.runners)
	return max(zoneSilence, zoneGapFactor*usual)
}

// silentZones names the zones of which no runner has sent a heartbeat for several times as long as
// there usually is none, while others have. Then those of its runners that routers fail to reach need
// not be overdue one by one: a zone that is cut off is known in half a second, and not after one and a
// half of the pauses that each runner makes.
func (r *Registry) silentZones(now time.Time) map[string]bool {
	zones := make(map[string]*zoneBeats)
	for _, known := range r.runners {
		zone := known.heartbeat.Zone
		if zone == "" || known.hasEnded() || known.displaced || known.suspicion.usualPause == 0 || now.Sub(known.heardAt) > r.timing.Silence() {
			continue
		}
		if zones[zone] == nil {
			zones[zone] = &zoneBeats{}
		}
		beats := zones[zone]
		beats.runners++
		beats.pauses += known.suspicion.usualPause
		if known.heardAt.After(beats.heardAt) {
			beats.heardAt = known.heardAt
		}
	}
	silent := make(map[string]bool)
	for zone, beats := range zones {
		if beats.runners >= leastZoneRunners && now.Sub(beats.heardAt) > beats.limit() {
			silent[zone] = true
		}
	}
	if len(silent) == len(zones) {
		// The leader itself may have heard nobody.
		return nil
	}
	return silent
}
