package simulate

import "time"

// pace says how often things happen at a site of the table scenario.
type pace struct {
	// tick is the tick of the groups: an election takes electionTicks of them.
	tick time.Duration
	// snapshotEntries is how much a group's log grows between two snapshots.
	snapshotEntries uint64
	// decide, report, demand and join are how often a zone's leader decides, an
	// engine and a router report, and a machine with a new disk asks to be taken in.
	decide time.Duration
	report time.Duration
	demand time.Duration
	join   time.Duration
	// view is the pause between two looks of a router at its zone's controller.
	view time.Duration
	// thinkLeast and thinkMost bound the pause of an operator between edits.
	thinkLeast time.Duration
	thinkMost  time.Duration
	// settle is how long after a fault the site may take to find its leaders again,
	// and convergence how long it may take to settle altogether.
	settle      time.Duration
	convergence time.Duration
}

// ordinaryPace is that of runs of a minute or so.
var ordinaryPace = pace{
	tick:            100 * time.Millisecond,
	snapshotEntries: 150,
	decide:          250 * time.Millisecond,
	report:          400 * time.Millisecond,
	demand:          time.Second,
	join:            500 * time.Millisecond,
	view:            50 * time.Millisecond,
	thinkLeast:      200 * time.Millisecond,
	thinkMost:       1500 * time.Millisecond,
	settle:          8 * time.Second,
	convergence:     40 * time.Second,
}

// longPace is that of runs of hours: as slow as the controllers' own times allow.
var longPace = pace{
	tick:            time.Second,
	snapshotEntries: 1000,
	decide:          time.Second,
	report:          2 * time.Second,
	demand:          2 * time.Second,
	join:            5 * time.Second,
	view:            time.Second,
	thinkLeast:      20 * time.Second,
	thinkMost:       60 * time.Second,
	settle:          time.Minute,
	convergence:     4 * time.Minute,
}
