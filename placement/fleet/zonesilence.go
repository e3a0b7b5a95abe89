package fleet

import "time"

const (
	// minZoneRunners is the minimum number of runners in a zone for its silence to be significant.
	minZoneRunners = 3
	// A zone is silent after zoneSilenceFactor times the mean time between heartbeats of any of its
	// runners, at least minZoneSilence: runners that were started together send heartbeats
	// together.
	zoneSilenceFactor = 5
	minZoneSilence    = 400 * time.Millisecond
)

// zoneActivity summarizes the heartbeats of a zone.
type zoneActivity struct {
	runners int
	// intervalSum is the sum of the mean heartbeat intervals of its runners.
	intervalSum time.Duration
	heardAt     time.Time
}

// limit returns the time without any heartbeat after which the zone is silent.
func (z *zoneActivity) limit() time.Duration {
	usual := z.intervalSum / time.Duration(z.runners) / time.Duration(z.runners)
	return max(minZoneSilence, zoneSilenceFactor*usual)
}

// silentZones returns the zones from which no heartbeat arrives while other zones are heard.
// Runners there that routers fail to reach count as lost without being overdue themselves, so that
// a partitioned zone is detected within half a second instead of one and a half heartbeat
// intervals.
func (r *Registry) silentZones(now time.Time) map[string]bool {
	zones := make(map[string]*zoneActivity)
	r.sort()
	for _, known := range r.sorted {
		zone := known.heartbeat.Zone
		if zone == "" || known.hasEnded() || known.displaced || known.suspicion.meanInterval == 0 || now.Sub(known.heardAt) > r.timing.SilenceLimit() {
			continue
		}
		activity := zones[zone]
		if activity == nil {
			activity = &zoneActivity{}
			zones[zone] = activity
		}
		activity.runners++
		activity.intervalSum += known.suspicion.meanInterval
		if known.heardAt.After(activity.heardAt) {
			activity.heardAt = known.heardAt
		}
	}
	silent := make(map[string]bool)
	for zone, beats := range zones {
		if beats.runners >= minZoneRunners && now.Sub(beats.heardAt) > beats.limit() {
			silent[zone] = true
		}
	}
	if len(silent) == len(zones) {
		// The leader itself may be partitioned.
		return nil
	}
	return silent
}
