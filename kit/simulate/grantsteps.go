package simulate

import (
	"fmt"
	"slices"
	"sort"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// checkerGrantSteps checks that each committed command of the table or a zone
// changes grants and replicas by a transition of spec/grants.pml.
const checkerGrantSteps = "grant-steps"

// The transitions of spec/grants.pml, by their names there.
const (
	stepNoteHeld     = "NoteHeld"
	stepSplitRow     = "SplitRow"
	stepApplyRelease = "ApplyRelease"
	stepAdopt        = "Adopt"
	stepSendRelease  = "SendRelease"
	stepLoad         = "Load"
	stepUnload       = "Unload"
)

var grantTransitions = []string{
	stepNoteHeld, stepSplitRow, stepApplyRelease, stepAdopt, stepSendRelease, stepLoad, stepUnload,
}

// specGrant is Grant of spec/grants.pml. A frozen grant has a positive limit.
type specGrant struct {
	limit, held int
	frozen      bool
	sequence    uint64
}

// specRow is the state of one row in spec/grants.pml; slices are indexed by zone.
type specRow struct {
	maxReplicas int
	frozen      bool
	granted     []specGrant
	adopted     []specGrant
	replicas    []int
	// issued lists the grants of each zone by rising table revision.
	issued [][]issuedGrant
}

type issuedGrant struct {
	revision uint64
	grant    specGrant
}

// releaseKey identifies a release that a zone may have sent.
type releaseKey struct {
	row      structs.RowName
	zone     structs.ZoneID
	sequence uint64
	limit    int
}

// grantSteps replays the committed commands against spec/grants.pml. For each
// command it checks that a transition leads from the specified state before it to
// the state that the code produced.
type grantSteps struct {
	ledger *ledger
	rows   map[structs.RowName]*specRow
	edits  map[structs.EditID]bool
	sent   map[releaseKey]bool
	taken  map[string]int
}

func newGrantSteps(l *ledger, taken map[string]int) *grantSteps {
	steps := &grantSteps{
		ledger: l,
		rows:   map[structs.RowName]*specRow{},
		edits:  map[structs.EditID]bool{},
		sent:   map[releaseKey]bool{},
		taken:  taken,
	}
	zones := len(l.site.zones)
	for _, name := range simulatedRows {
		steps.rows[name] = &specRow{
			granted: make([]specGrant, zones), adopted: make([]specGrant, zones),
			replicas: make([]int, zones), issued: make([][]issuedGrant, zones),
		}
	}
	return steps
}

func (s *grantSteps) report(format string, values ...any) {
	s.ledger.reportStep(checkerGrantSteps, format, values...)
}

// reportStep reports a step that the specification does not allow. With a mutation
// it reports only if this is the selected checker, so that the other checkers must
// detect the consequences.
func (l *ledger) reportStep(checker, format string, values ...any) {
	if l.site.plan.mutation == "" || l.site.plan.only == checker {
		l.judge.Report(checker, format, values...)
	}
}

// tableCommitted checks how a committed table command changed the grants.
func (s *grantSteps) tableCommitted(state *table.State, outcome tableOutcome) {
	command := outcome.command
	isApplied := outcome.result.Error == nil
	if command.Edit != nil {
		isApplied = outcome.result.Edit != nil && outcome.result.Edit.Accepted && !s.edits[command.Edit.Edit.ID]
		s.edits[command.Edit.Edit.ID] = true
	}
	if release := command.Release; release != nil && isApplied {
		s.checkRelease(*release)
	}
	for _, name := range simulatedRows {
		row := s.rows[name]
		before := row.clone()
		if isApplied {
			row.begin(command, name)
		}
		after := s.observe(state, name, before)
		if !row.reaches(after, isApplied && mayRegrant(command, name)) {
			s.report("%s: no transition leads from %+v to %+v by %s", name, before, after, describeCommand(command))
		}
		s.count(before, row, after)
		s.checkSequences(state, name, before, after)
		row.granted = after
		row.issue(state.Revision())
	}
}

func describeCommand(command table.Command) string {
	switch {
	case command.Edit != nil:
		return "edit " + describeChanges(command.Edit.Edit)
	case command.Release != nil:
		return fmt.Sprintf("release %+v", *command.Release)
	case command.Wish != nil:
		return fmt.Sprintf("wishes %+v", *command.Wish)
	case command.Zone != nil:
		return fmt.Sprintf("zone %+v", *command.Zone)
	}
	return "a report of what is in force"
}

func (r *specRow) clone() *specRow {
	copied := *r
	copied.granted = slices.Clone(r.granted)
	return &copied
}

// begin applies the deterministic steps: the new limit or the release, and NoteHeld.
func (r *specRow) begin(command table.Command, name structs.RowName) {
	if command.Edit != nil {
		for _, change := range command.Edit.Edit.Changes {
			if change.Row.Name == name {
				r.maxReplicas = change.Row.MaxReplicas
				if change.Delete {
					r.maxReplicas = 0
				}
				r.noteHeld()
			}
		}
	}
	if release := command.Release; release != nil && release.Row == name {
		r.applyRelease(slices.Index(simulatedZones, release.Zone), *release)
	}
}

// noteHeld is NoteHeld of the specification.
func (r *specRow) noteHeld() { r.frozen = r.held() > r.maxReplicas }

func (r *specRow) held() int {
	sum := 0
	for _, grant := range r.granted {
		sum += grant.held
	}
	return sum
}

// applyRelease is the first half of ApplyRelease; SplitRow follows.
func (r *specRow) applyRelease(zone int, release structs.GrantRelease) {
	grant := &r.granted[zone]
	limit := grant.limit
	if release.Limit > grant.limit || r.frozen {
		limit = release.Limit
	}
	if release.Sequence != grant.sequence || limit >= grant.held {
		return
	}
	grant.held = limit
	grant.limit = min(grant.limit, grant.held)
	r.noteHeld()
}

// mayRegrant reports whether the command allows SplitRow on the row.
func mayRegrant(command table.Command, name structs.RowName) bool {
	switch {
	case command.Edit != nil:
		return slices.ContainsFunc(command.Edit.Edit.Changes, func(change structs.RowChange) bool { return change.Row.Name == name })
	case command.Wish != nil:
		return slices.ContainsFunc(command.Wish.Wishes, func(wish structs.GrantWish) bool { return wish.Row == name })
	case command.Release != nil:
		return command.Release.Row == name
	}
	return command.Zone != nil
}

// reaches reports whether the row's grants can have become after: unchanged, or by
// SplitRow with some choice of the next limits.
func (r *specRow) reaches(after []specGrant, maySplit bool) bool {
	isSame := true
	for zone := range after {
		if after[zone].limit != r.granted[zone].limit || after[zone].held != r.granted[zone].held {
			isSame = false
		}
		if after[zone].frozen != (r.frozen && after[zone].limit > 0) {
			return false
		}
	}
	return isSame || maySplit && r.splits(after, nil, r.maxReplicas)
}

// splits tries all next limits that sum to left.
func (r *specRow) splits(after []specGrant, next []int, left int) bool {
	if len(next) == len(after)-1 {
		return r.splitRow(after, append(slices.Clone(next), left))
	}
	for limit := range left + 1 {
		if r.splits(after, append(slices.Clone(next), limit), left-limit) {
			return true
		}
	}
	return false
}

// splitRow is SplitRow: the held counts grow towards the next limits as far as there
// is room. With two zones, at most one of them lacks replicas when room runs out, so
// the split is determined; with more it is left open.
func (r *specRow) splitRow(after []specGrant, next []int) bool {
	room := max(r.maxReplicas-r.held(), 0)
	lacking, grown := 0, 0
	for zone, limit := range next {
		lack := max(limit-r.granted[zone].held, 0)
		growth := after[zone].held - r.granted[zone].held
		if growth < 0 || growth > lack || after[zone].limit != min(limit, after[zone].held) {
			return false
		}
		lacking += lack
		grown += growth
	}
	return grown == min(room, lacking)
}

// observe reads the row's grants from the table, which omits all-zero ones.
func (s *grantSteps) observe(state *table.State, name structs.RowName, before *specRow) []specGrant {
	after := make([]specGrant, len(before.granted))
	for zone := range after {
		after[zone].sequence = before.granted[zone].sequence
		if before.granted[zone].held > 0 {
			after[zone].sequence = state.Revision()
		}
	}
	for _, grant := range state.Grants(name) {
		after[slices.Index(simulatedZones, grant.Zone)] = specGrant{
			limit: grant.Limit, held: grant.Held, frozen: grant.Frozen, sequence: grant.Sequence,
		}
	}
	return after
}

// checkSequences checks that a changed grant has the sequence of this command. An
// unchanged one may have it too, since its share of the minimum may have moved.
func (s *grantSteps) checkSequences(state *table.State, name structs.RowName, before *specRow, after []specGrant) {
	for zone, grant := range after {
		former := before.granted[zone]
		isKept := grant.sequence == former.sequence
		if grant.limit != former.limit || grant.held != former.held || grant.frozen != former.frozen {
			isKept = false
		}
		if !isKept && grant.sequence != state.Revision() {
			s.report("%s: the grant of %s became %+v from %+v at table revision %d", name, simulatedZones[zone], grant, former, state.Revision())
		}
	}
}

func (s *grantSteps) count(before, begun *specRow, after []specGrant) {
	if before.frozen != begun.frozen {
		s.taken[stepNoteHeld]++
	}
	for zone := range after {
		if begun.granted[zone].held < before.granted[zone].held {
			s.taken[stepApplyRelease]++
		}
		if after[zone].limit != begun.granted[zone].limit {
			s.taken[stepSplitRow]++
		}
	}
}

// issue records the grants issued as of this table revision.
func (r *specRow) issue(revision uint64) {
	for zone, grant := range r.granted {
		list := r.issued[zone]
		if len(list) == 0 || list[len(list)-1].grant != grant {
			r.issued[zone] = append(list, issuedGrant{revision, grant})
		}
	}
}

// issuedAt returns the grant of a zone at a table revision.
func (r *specRow) issuedAt(zone int, revision uint64) specGrant {
	list := r.issued[zone]
	after := sort.Search(len(list), func(i int) bool { return list[i].revision > revision })
	if after == 0 {
		return specGrant{}
	}
	return list[after-1].grant
}

// checkRelease checks that the zone may have sent the release: it was down to it
// under the grant that the release names.
func (s *grantSteps) checkRelease(release structs.GrantRelease) {
	key := releaseKey{release.Row, release.Zone, release.Sequence, release.Limit}
	if !s.sent[key] {
		s.report("zone %s may not have sent the release %+v", release.Zone, release)
	}
	s.taken[stepSendRelease]++
}

// zoneCommitted checks how a committed zone command changed grants and replicas.
func (s *grantSteps) zoneCommitted(id structs.ZoneID, state *zone.State, command zone.Command) {
	number := slices.Index(simulatedZones, id)
	for _, name := range simulatedRows {
		row := s.rows[name]
		if command.Adopt != nil || command.AdoptPart != nil {
			s.adopt(id, name, state)
		}
		s.checkReplicaCount(id, name, state.CountOf(name), command)
		adopted, replicas := row.adopted[number], row.replicas[number]
		down := adopted.limit
		if adopted.frozen {
			down = replicas
		}
		mayRelease := (adopted.limit < adopted.held || adopted.frozen) && replicas <= adopted.limit && down != adopted.held
		if mayRelease {
			s.sent[releaseKey{name, id, adopted.sequence, down}] = true
		}
	}
}

// adopt is Adopt: the zone's grant is the one issued at its table revision, which
// does not go back.
func (s *grantSteps) adopt(id structs.ZoneID, name structs.RowName, state *zone.State) {
	row, number := s.rows[name], slices.Index(simulatedZones, id)
	message := row.issuedAt(number, state.TableRevision())
	former := row.adopted[number]
	if message.sequence < former.sequence {
		s.report("zone %s goes back from %+v to %+v of %s", id, former, message, name)
	}
	grant := state.Grant(name)
	found := specGrant{limit: grant.Limit, held: grant.Held, frozen: grant.Frozen, sequence: message.sequence}
	isOther := grant.Held > 0 && grant.Sequence != message.sequence
	if found != message || isOther {
		s.report("zone %s adopts %+v of %s at table revision %d, granted was %+v", id, grant, name, state.TableRevision(), message)
	}
	if message.sequence != former.sequence {
		s.taken[stepAdopt]++
	}
	row.adopted[number] = message
}

// checkReplicaCount is Load and Unload: an additional replica needs room under the
// adopted grant, and only a reservation adds one.
func (s *grantSteps) checkReplicaCount(id structs.ZoneID, name structs.RowName, count int, command zone.Command) {
	row, number := s.rows[name], slices.Index(simulatedZones, id)
	former, adopted := row.replicas[number], row.adopted[number]
	switch {
	case count == former:
	case count < former:
		s.taken[stepUnload]++
	default:
		isReserved := command.Reserve != nil && command.Reserve.Row == name
		if !isReserved || count > former+1 || former >= adopted.limit || adopted.frozen {
			s.report("zone %s goes from %d to %d replicas of %s under %+v", id, former, count, name, adopted)
		}
		s.taken[stepLoad]++
	}
	row.replicas[number] = count
}
