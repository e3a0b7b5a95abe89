package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// relayKeeps is for how many intervals a report that was read counts.
const relayKeeps = calmEvery + 1

// busyFactor is by how much a replica's requests must have grown or shrunk to be
// passed on; their coming and going is at once.
const busyFactor = 2

// ReportRelay is a router's part in reading the zone's engine reports: it says which
// reports of its share are due, and what is passed on to the leader. The leader never
// takes more from it than that a report which it has read itself is unchanged, or
// must be read again. It is not safe for concurrent use.
type ReportRelay struct {
	daemon   structs.DaemonID
	keep     time.Duration
	share    structs.ReportShare
	interval uint64
	read     map[structs.RunnerID]readReport
}

// readReport is what was last read of a runner.
type readReport struct {
	askedAt time.Time
	digest  uint64
	busy    []int
	// told is set once the leader has the digest, and busyTold is what it knows.
	told     bool
	busyTold []int
}

// NewReportRelay makes the relay of a router without a share. Reports are read at
// the interval.
func NewReportRelay(daemon structs.DaemonID, interval time.Duration) *ReportRelay {
	return &ReportRelay{daemon: daemon, keep: relayKeeps * interval, read: map[structs.RunnerID]readReport{}}
}

// Due begins an interval and returns the runners whose reports are read in it: each
// has its turn every fourth, and at once when it has not answered yet.
func (r *ReportRelay) Due() []structs.ShareRunner {
	r.interval++
	var due []structs.ShareRunner
	for _, runner := range r.share.Runners {
		_, known := r.read[runner.Runner]
		if !known || (r.interval+xxhash.Sum64String(string(runner.Runner)))%calmEvery == 0 {
			due = append(due, runner)
		}
	}
	return due
}

// Read takes a report that was asked for at a time; one that could not be read is
// not taken.
func (r *ReportRelay) Read(askedAt time.Time, report structs.EngineReport) {
	before := r.read[report.Runner]
	read := readReport{askedAt: askedAt, digest: ReportDigest(report), busy: busyOf(report)}
	if before.digest == read.digest {
		read.told = before.told
		read.busyTold = before.busyTold
	}
	r.read[report.Runner] = read
}

// Message is what to tell the leader now.
func (r *ReportRelay) Message(now time.Time) structs.ReportRelay {
	message := structs.ReportRelay{Daemon: r.daemon, Epoch: r.share.Epoch, Version: r.share.Version}
	for _, runner := range r.share.Runners {
		read, known := r.read[runner.Runner]
		age := now.Sub(read.askedAt)
		if !known || age > r.keep {
			message.Silent = append(message.Silent, runner.Runner)
			continue
		}
		message.OldestAge = max(message.OldestAge, age)
		if !read.told || busyDiffers(read.busy, read.busyTold) {
			message.Changed = append(message.Changed, structs.RelayedReport{Runner: runner.Runner, Digest: read.digest, Busy: read.busy})
		}
	}
	return message
}

// Told notes that the leader has the message, and takes the share that it gave, nil
// when that is unchanged. It reports whether the share is new: the leader then
// awaits a message about it.
func (r *ReportRelay) Told(message structs.ReportRelay, share *structs.ReportShare) bool {
	if share != nil {
		r.takeShare(*share)
		return true
	}
	for _, changed := range message.Changed {
		read, known := r.read[changed.Runner]
		if !known || read.digest != changed.Digest {
			continue
		}
		read.told = true
		read.busyTold = changed.Busy
		r.read[changed.Runner] = read
	}
	return false
}

// takeShare keeps what was read of runners that stay in the share; the leader is
// told all of it again.
func (r *ReportRelay) takeShare(share structs.ReportShare) {
	kept := make(map[structs.RunnerID]readReport, len(share.Runners))
	for _, runner := range share.Runners {
		if read, known := r.read[runner.Runner]; known {
			read.told = false
			read.busyTold = nil
			kept[runner.Runner] = read
		}
	}
	r.share = share
	r.read = kept
}

// busyDiffers reports whether the counts differ enough to be passed on.
func busyDiffers(busy, told []int) bool {
	if len(busy) != len(told) {
		return true
	}
	for i := range busy {
		isBusy, wasBusy := busy[i] > 0, told[i] > 0
		if isBusy != wasBusy || busy[i] > busyFactor*told[i] || told[i] > busyFactor*busy[i] {
			return true
		}
	}
	return false
}
