package simulate

import "time"

// pace holds the intervals and time bounds of a table scenario site.
type pace struct {
	// tick is the raft tick; an election takes electionTicks of them.
	tick time.Duration
	// snapshotEntries is the growth of a group's log between snapshots.
	snapshotEntries uint64
	// decide, report, demand and join are the intervals of leader decisions, engine
	// reports, router reports and join requests of machines with a new disk.
	decide time.Duration
	report time.Duration
	demand time.Duration
	join   time.Duration
	// view is the pause between a router's polls of its zone's controller.
	view time.Duration
	// minThinkTime and maxThinkTime bound the pause of an operator between edits.
	minThinkTime time.Duration
	maxThinkTime time.Duration
	// settle is how long leader elections may take after a fault, and convergence
	// how long the whole site may take to converge.
	settle      time.Duration
	convergence time.Duration
}

// ordinaryPace is for runs of about a minute.
var ordinaryPace = pace{
	tick:            100 * time.Millisecond,
	snapshotEntries: 150,
	decide:          250 * time.Millisecond,
	report:          400 * time.Millisecond,
	demand:          time.Second,
	join:            500 * time.Millisecond,
	view:            50 * time.Millisecond,
	minThinkTime:    200 * time.Millisecond,
	maxThinkTime:    1500 * time.Millisecond,
	settle:          8 * time.Second,
	convergence:     40 * time.Second,
}

// longPace is for runs of hours, with intervals as long as the controllers' own
// timing permits.
var longPace = pace{
	tick:            time.Second,
	snapshotEntries: 1000,
	decide:          time.Second,
	report:          2 * time.Second,
	demand:          2 * time.Second,
	join:            5 * time.Second,
	view:            time.Second,
	minThinkTime:    20 * time.Second,
	maxThinkTime:    60 * time.Second,
	settle:          time.Minute,
	convergence:     4 * time.Minute,
}
