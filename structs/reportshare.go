package structs

import "time"

// ReportShare is the subset of a zone's runners whose engine reports one router polls
// for the zone's leader.
type ReportShare struct {
	// Epoch is the leader's, and Version increases with each change of the router's share.
	Epoch   Epoch
	Version uint64
	Runners []ShareRunner
}

// ShareRunner is a runner of a share.
type ShareRunner struct {
	Runner  RunnerID
	Address string
}

// ReportRelay is a router's message about its share to the leader. The reports of
// runners that it does not list are unchanged.
type ReportRelay struct {
	Daemon DaemonID
	// Epoch and Version are those of the share that the router has; 0 for none.
	Epoch   Epoch
	Version uint64
	// OldestAge is the time since the poll for the oldest of the recent reports.
	OldestAge time.Duration
	// Silent lists the runners of the share without a recent report.
	Silent []RunnerID
	// Changed lists the reports that changed since they were last sent.
	Changed []RelayedReport
}

// RelayedReport is the part of an engine's report that a router relays.
type RelayedReport struct {
	Runner RunnerID
	// Digest is a hash of the report without its load.
	Digest uint64
	// Busy is the number of running and queued requests of each replica, in the order
	// of the row names.
	Busy []int
}
