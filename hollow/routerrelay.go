package hollow

import (
	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/structs"
)

// relayEvery is that of the daemon: the report intervals between two messages.
const relayEvery = 2

// relayLoop reads the router's share of the engines' reports and tells the zone's
// leader what has changed, as the daemon's does.
func (r *routerNode) relayLoop(life, interval int) {
	if !r.current(life) {
		return
	}
	for _, runner := range r.relay.Due() {
		r.readShared(life, runner)
	}
	if interval%relayEvery == 0 {
		// The reads under way are over by then.
		r.owner.zone.after(2*delayInZone, func() { r.tellReports(life, true) })
	}
	r.owner.zone.after(defaultTiming().ReportInterval, func() { r.relayLoop(life, interval+1) })
}

func (r *routerNode) readShared(life int, runner structs.ShareRunner) {
	home := r.owner.zone
	asked := home.time()
	home.after(delayInZone, func() {
		report, answered := home.byID[runner.Runner].report()
		home.after(delayInZone, func() {
			if !answered || !r.current(life) {
				return
			}
			r.owner.traffic.received[trafficReport] += int64(jsonBytes(report))
			r.relay.Read(asked, report)
		})
	})
}

// tellReports tells the leader, and once more about a new share.
func (r *routerNode) tellReports(life int, again bool) {
	if !r.current(life) {
		return
	}
	home := r.owner.zone
	message := r.relay.Message(home.time())
	bytes := home.sizer.call(methodZoneReports, daemon.ReportsArguments{Relay: message})
	deadline := home.now + int64(defaultTiming().ReportInterval)
	r.askLeader(trafficReport, bytes, deadline, func(m *zoneMember, answer answerFunc, _ func()) {
		share := m.leader.takeRelay(message)
		answer(home.sizer.reply(methodZoneReports, daemon.ReportsReply{Share: share}), func() {
			if r.current(life) && r.relay.Told(message, share) && again && len(share.Runners) > 0 {
				r.tellReports(life, false)
			}
		})
	}, func() {})
}
