package simulate

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// checkerOrderSteps checks that reservations, the actions of leaders on them and the
// handling of orders by engines are transitions of spec/orders.pml.
const checkerOrderSteps = "order-steps"

// The transitions of spec/orders.pml, by their names there.
const (
	stepReserve             = "Reserve"
	stepTransition          = "Transition"
	stepTouch               = "Touch"
	stepRemove              = "Remove"
	stepNewEpoch            = "NewEpoch"
	stepRegisterIncarnation = "RegisterIncarnation"
	stepTakeOrder           = "TakeOrder"
	stepReport              = "Report"
	stepRestartEngine       = "RestartEngine"
	stepSendOrder           = "SendOrder"
	stepFollowRecord        = "FollowRecord"
)

var orderTransitions = []string{
	stepReserve, stepTransition, stepTouch, stepRemove, stepNewEpoch, stepRegisterIncarnation,
	stepTakeOrder, stepReport, stepRestartEngine, stepSendOrder, stepFollowRecord,
}

// specRecord is Record of spec/orders.pml; the zero value is an absent record.
type specRecord struct {
	state           structs.ReplicaState
	order, reserved structs.OrderNumber
}

// specEngine is Engine of spec/orders.pml.
type specEngine struct {
	incarnation structs.Incarnation
	fence       structs.Fence
	last        structs.Order
	states      map[structs.RowName]structs.ReplicaState
}

// orderSteps replays a site's reservations and orders against spec/orders.pml.
type orderSteps struct {
	ledger       *ledger
	records      map[placement]specRecord
	incarnations map[structs.RunnerID]structs.Incarnation
	engines      map[structs.RunnerID]*specEngine
	taken        map[string]int
}

func newOrderSteps(l *ledger, taken map[string]int) *orderSteps {
	return &orderSteps{
		ledger:       l,
		records:      map[placement]specRecord{},
		incarnations: map[structs.RunnerID]structs.Incarnation{},
		engines:      map[structs.RunnerID]*specEngine{},
		taken:        taken,
	}
}

func (s *orderSteps) report(format string, values ...any) {
	s.ledger.reportStep(checkerOrderSteps, format, values...)
}

// zoneCommitted applies the transition of the command and compares the resulting
// records with those of the code.
func (s *orderSteps) zoneCommitted(id structs.ZoneID, state *zone.State, number structs.OrderNumber, command zone.Command) {
	switch {
	case command.Reserve != nil:
		s.reserve(placement{command.Reserve.Row, command.Reserve.Runner}, number, state)
	case command.Transition != nil:
		change := command.Transition
		s.transition(placement{change.Row, change.Runner}, change.Order, number, change.To)
	case command.Touch != nil:
		at := placement{command.Touch.Row, command.Touch.Runner}
		s.renumber(at, command.Touch.Order, number, stepTouch)
	case command.Remove != nil:
		s.remove(placement{command.Remove.Row, command.Remove.Runner}, command.Remove.Order)
	case command.Runner != nil:
		s.register(command.Runner.Info)
	}
	for _, host := range s.ledger.site.engines {
		if host.zone == id {
			s.compare(host.id, state)
		}
	}
}

// reserve is Reserve; the reservation must fit beside the runner's other records.
func (s *orderSteps) reserve(at placement, number structs.OrderNumber, state *zone.State) {
	if known, isThere := s.records[at]; isThere {
		s.report("%s on %s is reserved while %+v is recorded", at.row, at.runner, known)
	}
	s.records[at] = specRecord{structs.ReplicaLoading, number, number}
	runner, _ := state.Runner(at.runner)
	var reserved int64
	for _, replica := range state.ReplicasOn(at.runner) {
		reserved += replica.MemoryBytes
	}
	if reserved > runner.MemoryBytes {
		s.report("%d bytes are reserved on %s, which has %d", reserved, at.runner, runner.MemoryBytes)
	}
	s.taken[stepReserve]++
}

func (s *orderSteps) transition(at placement, named, number structs.OrderNumber, to structs.ReplicaState) {
	record := s.records[at]
	isLegal := to == structs.ReplicaReady && record.state == structs.ReplicaLoading ||
		to == structs.ReplicaUnloading && (record.state == structs.ReplicaLoading || record.state == structs.ReplicaReady)
	if !isLegal || record.order != named {
		s.report("%s on %s goes to %s under order %d from %+v", at.row, at.runner, to, named, record)
	}
	record.state = to
	if to == structs.ReplicaUnloading {
		record.order = number
	}
	s.records[at] = record
	s.taken[stepTransition]++
}

func (s *orderSteps) renumber(at placement, named, number structs.OrderNumber, step string) {
	record := s.records[at]
	isOpen := record.state == structs.ReplicaLoading || record.state == structs.ReplicaUnloading
	if !isOpen || record.order != named {
		s.report("%s on %s is touched under order %d as %+v", at.row, at.runner, named, record)
	}
	record.order = number
	s.records[at] = record
	s.taken[step]++
}

func (s *orderSteps) remove(at placement, named structs.OrderNumber) {
	record := s.records[at]
	isOpen := record.state == structs.ReplicaLoading || record.state == structs.ReplicaUnloading
	if !isOpen || record.order != named {
		s.report("%s on %s is removed under order %d as %+v", at.row, at.runner, named, record)
	}
	delete(s.records, at)
	s.taken[stepRemove]++
}

// register is RegisterIncarnation; a runner that has not restarted keeps its
// records.
func (s *orderSteps) register(info structs.RunnerInfo) {
	if info.Incarnation <= s.incarnations[info.ID] {
		return
	}
	s.incarnations[info.ID] = info.Incarnation
	for at := range s.records {
		if at.runner == info.ID {
			delete(s.records, at)
		}
	}
	s.taken[stepRegisterIncarnation]++
}

func (s *orderSteps) compare(runner structs.RunnerID, state *zone.State) {
	for _, row := range simulatedRows {
		found := specRecord{}
		if replica, isThere := state.Replica(runner, row); isThere {
			found = specRecord{replica.State, replica.Order, replica.Reserved}
		}
		if known := s.records[placement{row, runner}]; found != known {
			s.report("%s on %s is %+v, by the specification %+v", row, runner, found, known)
		}
	}
}

func (s *orderSteps) newEpoch() { s.taken[stepNewEpoch]++ }

// recordView is what a leader knows of one record: the macros shown, overtaken and
// passed of the specification.
type recordView struct {
	record                          specRecord
	state                           structs.ReplicaState
	order                           structs.OrderNumber
	mayFollow                       bool
	isShown, isOvertaken, hasPassed bool
}

func (s *orderSteps) view(c *zoneController, epoch structs.Epoch, at placement) recordView {
	replica, _ := c.state.Replica(at.runner, at.row)
	runner, _ := c.state.Runner(at.runner)
	report := c.reports[at.runner].Report
	seen := recordView{
		record: specRecord{replica.State, replica.Order, replica.Reserved},
		mayFollow: report.Runner == at.runner && report.Incarnation == runner.Incarnation &&
			report.Fence.Epoch <= epoch,
	}
	for _, engine := range report.Replicas {
		if engine.Row == at.row && engine.State != structs.ReplicaAbsent && engine.Fence.Number >= replica.Reserved {
			seen.isShown, seen.state, seen.order = true, engine.State, engine.Fence.Number
		}
	}
	fence := structs.Fence{Epoch: epoch, Number: replica.Order}
	seen.isOvertaken = fence.Before(report.Fence)
	seen.hasPassed = seen.isOvertaken || fence == report.Fence
	return seen
}

// proposed is FollowRecord: a leader's change of a record must follow from the last
// report, except that it may begin to unload at any time.
func (s *orderSteps) proposed(c *zoneController, epoch structs.Epoch, command zone.Command) {
	var at placement
	var isDue func(recordView) bool
	switch {
	case command.Transition != nil && command.Transition.To == structs.ReplicaReady:
		at = placement{command.Transition.Row, command.Transition.Runner}
		isDue = readyIsDue
	case command.Touch != nil:
		at = placement{command.Touch.Row, command.Touch.Runner}
		isDue = touchIsDue
	case command.Remove != nil:
		at = placement{command.Remove.Row, command.Remove.Runner}
		isDue = removeIsDue
	default:
		return
	}
	if seen := s.view(c, epoch, at); !seen.mayFollow || !isDue(seen) {
		s.report("the leader of epoch %d records a change of %s on %s that is not due: %+v", epoch, at.row, at.runner, seen)
	}
	s.taken[stepFollowRecord]++
}

func readyIsDue(v recordView) bool {
	return v.record.state == structs.ReplicaLoading && v.isShown && v.state == structs.ReplicaReady
}

func removeIsDue(v recordView) bool {
	isFailed := v.record.state == structs.ReplicaLoading && !v.isShown && v.hasPassed && !v.isOvertaken
	return isFailed || v.record.state == structs.ReplicaUnloading && !v.isShown && v.hasPassed
}

func touchIsDue(v recordView) bool {
	isLost := v.record.state == structs.ReplicaLoading && !v.isShown && v.isOvertaken
	return isLost || v.record.state == structs.ReplicaUnloading && v.isOvertaken && v.isShown && v.order < v.record.order
}

// sent is SendOrder: an order must be for a state that the leader's log records and
// that the last report does not show as done or outdated.
func (s *orderSteps) sent(c *zoneController, epoch structs.Epoch, order structs.Order) {
	if order.Kind != structs.OrderLoad && order.Kind != structs.OrderUnload {
		return
	}
	seen := s.view(c, epoch, placement{order.Row, order.Runner})
	isDue := loadIsDue(seen)
	if order.Kind == structs.OrderUnload {
		isDue = unloadIsDue(seen)
	}
	runner, _ := c.state.Runner(order.Runner)
	isOwn := order.Fence == structs.Fence{Epoch: epoch, Number: seen.record.order} && order.Incarnation == runner.Incarnation
	if !seen.mayFollow || !isDue || !isOwn {
		s.report("the leader of epoch %d sends %s, which is not due: %+v", epoch, describeOrder(order), seen)
	}
	s.taken[stepSendOrder]++
}

func loadIsDue(v recordView) bool {
	return v.record.state == structs.ReplicaLoading && !v.isShown && !v.hasPassed
}

func unloadIsDue(v recordView) bool {
	isGone := !v.isShown && v.hasPassed
	isUnderWay := v.isShown && v.hasPassed && v.order >= v.record.order
	return v.record.state == structs.ReplicaUnloading && !isGone && !isUnderWay && !v.isOvertaken
}

// engine returns the specified state of the engine, which a restart empties.
func (s *orderSteps) engine(h *engineHost) *specEngine {
	known := s.engines[h.id]
	if known != nil && known.incarnation == h.incarnation {
		return known
	}
	if known != nil {
		s.taken[stepRestartEngine]++
	}
	known = &specEngine{incarnation: h.incarnation, states: map[structs.RowName]structs.ReplicaState{}}
	s.engines[h.id] = known
	return known
}

// answered is TakeOrder: the engine executes an order for its incarnation that is
// newer than all it accepted, and ignores any other.
func (s *orderSteps) answered(h *engineHost, order structs.Order, reply structs.OrderReply) {
	engine := s.engine(h)
	isOwn := order.Incarnation == engine.incarnation
	isRepeated := order == engine.last
	isNewer := engine.fence.Before(order.Fence)
	isBusy := order.Kind == structs.OrderLoad && engine.states[order.Row] == structs.ReplicaUnloading
	isUsual := order.Kind == structs.OrderLoad || order.Kind == structs.OrderUnload
	switch {
	case reply.Accepted && !(isOwn && (isNewer || isRepeated)):
		s.report("engine %s accepts %s after %+v", h.id, describeOrder(order), engine.fence)
	case !reply.Accepted && isUsual && isOwn && isNewer && !isBusy:
		s.report("engine %s refuses %s after %+v: %s", h.id, describeOrder(order), engine.fence, reply.Reason)
	case reply.Accepted:
		engine.fence, engine.last = order.Fence, order
		s.taken[stepTakeOrder]++
	}
	if reply.Fence != engine.fence {
		s.report("engine %s answers with fence %+v, by the specification %+v", h.id, reply.Fence, engine.fence)
	}
}

func (s *orderSteps) replicaChanged(h *engineHost, row structs.RowName, state structs.ReplicaState) {
	s.engine(h).states[row] = state
}

// reported is Report: the reported fence is the engine's present or an earlier one.
func (s *orderSteps) reported(h *engineHost, report structs.EngineReport) {
	engine := s.engine(h)
	isFuture := report.Incarnation > engine.incarnation ||
		report.Incarnation == engine.incarnation && engine.fence.Before(report.Fence)
	if isFuture {
		s.report("engine %s reports fence %+v of incarnation %d, by the specification it has %+v", h.id, report.Fence, report.Incarnation, engine.fence)
	}
	s.taken[stepReport]++
}
