package simulate

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// The names of the checkers.
const (
	checkerElection    = "election"
	checkerLog         = "log"
	checkerLease       = "lease"
	checkerReplicas    = "replicas"
	checkerGrant       = "grant"
	checkerMemory      = "memory"
	checkerReservation = "reservation"
	checkerFence       = "fence"
	checkerWinner      = "one-winner"
	checkerResend      = "resend"
	checkerInForce     = "in-force"
	checkerLate        = "in-force-late"
	checkerAlone       = "alone"
	checkerRead        = "read"
	checkerInvariants  = "invariants"
	checkerConvergence = "convergence"
	checkerFailure     = "failure"
	checkerRunaway     = "runaway"
)

// tableCheckers lists the checkers of the table scenario.
var tableCheckers = []string{
	checkerElection, checkerLog, checkerLease, checkerReplicas, checkerGrant, checkerMemory,
	checkerReservation, checkerFence, checkerWinner, checkerResend, checkerInForce, checkerLate,
	checkerAlone, checkerLeaving, checkerRead, checkerLinearizable, checkerGrantSteps, checkerOrderSteps,
	checkerInvariants, checkerConvergence, checkerFailure, checkerRunaway,
}

// invariantInterval is the number of committed commands between two checks of a
// state machine's own invariants.
const invariantInterval = 16

// ledger holds the checkers' records of a simulated site. They come from what was
// committed, answered and loaded, never from the state of the code under test.
type ledger struct {
	site    *tableSite
	judge   *Judge
	logs    map[groupName]*logRecord
	edits   *editRecords
	zones   map[structs.ZoneID]*zoneRecord
	engines map[structs.RunnerID]*engineRecord
	limits  *limitRecords
	// grantSteps and orderSteps compare the code with the specification; taken
	// counts the transitions.
	grantSteps *grantSteps
	orderSteps *orderSteps
	taken      map[string]int
	// newestTable is the state of a member that has applied the newest command of
	// the global group.
	newestTable *table.State
	// newestAccepted is the table revision of the last accepted edit.
	newestAccepted uint64
	notedGrants    uint64
}

// logRecord holds the committed entries and the leaders of one group.
type logRecord struct {
	entries map[uint64]uint64
	leaders map[uint64]raft.NodeID
	newest  uint64
	// newestTerm is the newest term with a leader.
	newestTerm uint64
}

func newLedger(site *tableSite, judge *Judge) *ledger {
	l := &ledger{
		site:    site,
		judge:   judge,
		logs:    map[groupName]*logRecord{},
		edits:   newEditRecords(),
		zones:   map[structs.ZoneID]*zoneRecord{},
		engines: map[structs.RunnerID]*engineRecord{},
		limits:  newLimitRecords(),
	}
	l.taken = map[string]int{}
	l.grantSteps = newGrantSteps(l, l.taken)
	l.orderSteps = newOrderSteps(l, l.taken)
	for _, zone := range site.zones {
		l.zones[zone] = newZoneRecord()
	}
	return l
}

func (l *ledger) log(group groupName) *logRecord {
	record := l.logs[group]
	if record == nil {
		record = &logRecord{entries: map[uint64]uint64{}, leaders: map[uint64]raft.NodeID{}}
		l.logs[group] = record
	}
	return record
}

// becameLeader checks that a term has only one leader.
func (l *ledger) becameLeader(group groupName, term uint64, id raft.NodeID) {
	record := l.log(group)
	if other, ok := record.leaders[term]; ok && other != id {
		l.judge.Report(checkerElection, "group %s: nodes %d and %d both lead term %d", group, other, id, term)
	}
	record.leaders[term] = id
	record.newestTerm = max(record.newestTerm, term)
	if group != globalGroup {
		l.orderSteps.newEpoch()
	}
}

// applied checks that all members apply the same entry at an index, and passes a new
// command to the other checkers.
func (l *ledger) applied(m *member, entry raft.Entry, result any) {
	record := l.log(m.group)
	digest := digestEntry(entry)
	if known, ok := record.entries[entry.Index]; ok {
		if known != digest {
			l.judge.Report(checkerLog, "group %s: %s applied another entry at index %d than was committed before",
				m.group, m.machine.Address, entry.Index)
		}
		return
	}
	if entry.Index != record.newest+1 {
		l.judge.Report(checkerLog, "group %s: %s applied index %d, the newest committed was %d",
			m.group, m.machine.Address, entry.Index, record.newest)
	}
	record.entries[entry.Index] = digest
	record.newest = entry.Index
	switch outcome := result.(type) {
	case tableOutcome:
		l.tableCommitted(m, outcome)
	case zoneOutcome:
		l.zoneCommitted(m, entry.Index, outcome)
	}
	if entry.Index%invariantInterval == 0 {
		l.checkInvariants(m)
	}
}

func digestEntry(entry raft.Entry) uint64 {
	digest := xxhash.New()
	var header [9]byte
	binary.BigEndian.PutUint64(header[:], entry.Term)
	header[8] = byte(entry.Kind)
	_, _ = digest.Write(header[:])
	_, _ = digest.Write(entry.Data)
	return digest.Sum64()
}

func (l *ledger) checkInvariants(m *member) {
	var err error
	switch state := m.state.(type) {
	case *tableMachine:
		err = state.state.CheckInvariants()
	case *zoneMachine:
		err = state.state.CheckInvariants()
	}
	if err != nil {
		l.judge.Report(checkerInvariants, "group %s on %s: %v", m.group, m.machine.Address, err)
	}
}

func (l *ledger) tableCommitted(m *member, outcome tableOutcome) {
	if outcome.err != nil {
		l.judge.Report(checkerFailure, "a committed table command cannot be decoded: %v", outcome.err)
		return
	}
	l.newestTable = m.state.(*tableMachine).state
	if outcome.command.Edit != nil {
		l.editCommitted(outcome.command.Edit.Edit, outcome.result)
	}
	if outcome.command.Release != nil {
		l.site.counts.GrantReleases++
		release := outcome.command.Release
		l.site.trace.Note("release", string(release.Zone), fmt.Sprintf("%s down to %d (sequence %d)", release.Row, release.Limit, release.Sequence))
	}
	l.grantSteps.tableCommitted(l.newestTable, outcome)
	l.noteGrants()
}

// noteGrants traces the grants changed by the last command.
func (l *ledger) noteGrants() {
	revision := l.newestTable.Revision()
	for _, name := range simulatedRows {
		for _, grant := range l.newestTable.Grants(name) {
			if grant.Sequence == revision && revision > l.notedGrants {
				l.site.trace.Note("grant", string(grant.Zone), fmt.Sprintf("%s limit %d held %d of %d (revision %d)",
					name, grant.Limit, grant.Held, l.edits.maxReplicas(name), revision))
			}
		}
	}
	l.notedGrants = revision
}

// leaderActs checks that a zone leader with a valid lease is the newest leader and
// that the table in force never goes back.
func (l *ledger) leaderActs(m *member, revision uint64) {
	term := m.node.Term()
	if newest := l.log(m.group).newestTerm; newest > term {
		l.judge.Report(checkerLease, "group %s: %s trusts its lease of term %d while term %d has a leader",
			m.group, m.machine.Address, term, newest)
	}
	record := l.zones[m.machine.Zone]
	if revision < record.acted {
		l.judge.Report(checkerInForce, "zone %s acted on table revision %d after %d", m.machine.Zone, revision, record.acted)
	}
	record.acted = revision
	l.site.progress.leaderActed(m.machine.Zone)
}

// tableRead checks that a read reflects every edit accepted before it.
func (l *ledger) tableRead(floor, revision uint64) {
	if revision < floor {
		l.judge.Report(checkerRead, "a read shows table revision %d, an edit at %d was accepted before", revision, floor)
	}
}
