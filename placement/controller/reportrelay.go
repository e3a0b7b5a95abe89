package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// relayRetentionIntervals is for how many intervals a report that was read is valid.
const relayRetentionIntervals = idleReadEvery + 1

// busyChangeFactor is the relative change of a replica's request count that is relayed. A
// change from or to zero is always relayed.
const busyChangeFactor = 2

// ReportRelay schedules a router's reads of the engine reports in its share and selects what
// it relays to the leader. The leader only takes from it that a report which it has read
// itself is unchanged or must be read again. It is not safe for concurrent use.
type ReportRelay struct {
	daemon    structs.DaemonID
	retention time.Duration
	share     structs.ReportShare
	interval  uint64
	read      map[structs.RunnerID]readReport
}

// readReport is the last report read from a runner.
type readReport struct {
	askedAt time.Time
	digest  uint64
	busy    []int
	// acknowledged is set once the leader has the digest; acknowledgedBusy are the counts it
	// has.
	acknowledged     bool
	acknowledgedBusy []int
}

// NewReportRelay returns a relay without a share. Reports are read at the interval.
func NewReportRelay(daemon structs.DaemonID, interval time.Duration) *ReportRelay {
	return &ReportRelay{daemon: daemon, retention: relayRetentionIntervals * interval, read: map[structs.RunnerID]readReport{}}
}

// Due begins an interval and returns the runners whose reports are read in it: each runner
// every idleReadEvery intervals, and at once if it has not answered yet.
func (r *ReportRelay) Due() []structs.ShareRunner {
	r.interval++
	var due []structs.ShareRunner
	for _, runner := range r.share.Runners {
		_, known := r.read[runner.Runner]
		if !known || (r.interval+xxhash.Sum64String(string(runner.Runner)))%idleReadEvery == 0 {
			due = append(due, runner)
		}
	}
	return due
}

// Read records a report that was requested at askedAt.
func (r *ReportRelay) Read(askedAt time.Time, report structs.EngineReport) {
	before := r.read[report.Runner]
	read := readReport{askedAt: askedAt, digest: ReportDigest(report), busy: busyOf(report)}
	if before.digest == read.digest {
		read.acknowledged = before.acknowledged
		read.acknowledgedBusy = before.acknowledgedBusy
	}
	r.read[report.Runner] = read
}

// Message returns the message to send to the leader now.
func (r *ReportRelay) Message(now time.Time) structs.ReportRelay {
	message := structs.ReportRelay{Daemon: r.daemon, Epoch: r.share.Epoch, Version: r.share.Version}
	for _, runner := range r.share.Runners {
		read, known := r.read[runner.Runner]
		age := now.Sub(read.askedAt)
		if !known || age > r.retention {
			message.Silent = append(message.Silent, runner.Runner)
			continue
		}
		message.OldestAge = max(message.OldestAge, age)
		if !read.acknowledged || busyDiffers(read.busy, read.acknowledgedBusy) {
			message.Changed = append(message.Changed, structs.RelayedReport{Runner: runner.Runner, Digest: read.digest, Busy: read.busy})
		}
	}
	return message
}

// Acknowledge records that the leader has received the message, and adopts the share in its reply,
// which is nil if unchanged. It reports whether the share is new; the leader then expects
// another message at once.
func (r *ReportRelay) Acknowledge(message structs.ReportRelay, share *structs.ReportShare) bool {
	if share != nil {
		r.setShare(*share)
		return true
	}
	for _, changed := range message.Changed {
		read, known := r.read[changed.Runner]
		if !known || read.digest != changed.Digest {
			continue
		}
		read.acknowledged = true
		read.acknowledgedBusy = changed.Busy
		r.read[changed.Runner] = read
	}
	return false
}

// setShare adopts a share. Reports of runners that remain in it are kept, and relayed to the
// leader again.
func (r *ReportRelay) setShare(share structs.ReportShare) {
	kept := make(map[structs.RunnerID]readReport, len(share.Runners))
	for _, runner := range share.Runners {
		if read, known := r.read[runner.Runner]; known {
			read.acknowledged = false
			read.acknowledgedBusy = nil
			kept[runner.Runner] = read
		}
	}
	r.share = share
	r.read = kept
}

// busyDiffers reports whether the counts differ enough to be relayed.
func busyDiffers(busy, acknowledged []int) bool {
	if len(busy) != len(acknowledged) {
		return true
	}
	for i := range busy {
		isBusy, wasBusy := busy[i] > 0, acknowledged[i] > 0
		if isBusy != wasBusy || busy[i] > busyChangeFactor*acknowledged[i] || acknowledged[i] > busyChangeFactor*busy[i] {
			return true
		}
	}
	return false
}
