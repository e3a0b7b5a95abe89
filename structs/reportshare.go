package structs

import "time"

// ReportShare is the part of a zone's runners whose engine reports one router reads
// for the zone's leader.
type ReportShare struct {
	// Epoch is the leader's, and Version rises with each change of the router's share.
	Epoch   Epoch
	Version uint64
	Runners []ShareRunner
}

// ShareRunner is a runner of a share.
type ShareRunner struct {
	Runner  RunnerID
	Address string
}

// ReportRelay is what a router tells the leader of its share: of all runners that it
// does not name, that their reports are as it last said.
type ReportRelay struct {
	Daemon DaemonID
	// Epoch and Version are those of the share that the router has; 0 for none.
	Epoch   Epoch
	Version uint64
	// OldestAge is how long ago the oldest of the reports that count was asked for.
	OldestAge time.Duration
	// Silent are the runners of the share without a report that is new enough.
	Silent []RunnerID
	// Changed are the reports that changed since the router last said so.
	Changed []RelayedReport
}

// RelayedReport is the part of an engine's report that a router passes on.
type RelayedReport struct {
	Runner RunnerID
	// Digest stands for all of the report but its load.
	Digest uint64
	// Busy counts the running and queued requests of each replica, in the order of
	// the names of their rows.
	Busy []int
}
