package domainnode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/structs"
)

// soleReplicaGrace is how long after a drain order a drained zone's runners still take
// requests for models loaded on no other runner, while those are loaded elsewhere. It is
// half of the shortest drain time, 5 s; routers learn of its end within domainapi.MaxHold.
const soleReplicaGrace = 2500 * time.Millisecond

// DrainZone starts or ends the drain of a zone. It returns once the order is durable and the
// active routers have received it or a timeout has passed. The error is of kind
// ErrorNotFound if the site has no such zone; after other errors the outcome is unknown.
func (n *Node) DrainZone(ctx context.Context, order domain.ZoneDrain) error {
	if !slices.Contains(n.options.Zones, order.Zone) {
		err := structs.NewError(structs.ErrorNotFound, fmt.Sprintf("the site has no zone %q", order.Zone),
			fmt.Sprintf("Name one of %q.", n.options.Zones))
		level.Info(n.logger).Log("msg", "A drain order was rejected: unknown zone.", "zone", order.Zone, "drained", order.IsDrained)
		n.metrics.drains.WithLabelValues("invalid").Inc()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	_, err := leadercall.Call(ctx, n.caller, domainapi.MethodDrain, domainapi.DrainArguments{Drain: order}, newReply)
	n.metrics.drains.WithLabelValues(outcomeName(err)).Inc()
	level.Info(n.logger).Log("msg", "A drain order was submitted.", "zone", order.Zone, "drained", order.IsDrained, "err", err)
	return err
}

// DrainedZones returns the drained zones, sorted. The read is linearizable.
func (n *Node) DrainedZones(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	reply, err := leadercall.Call(ctx, n.caller, domainapi.MethodDrained, domainapi.ReadArguments{},
		func() *domainapi.DrainedReply { return &domainapi.DrainedReply{} })
	if err != nil {
		return nil, err
	}
	return reply.Zones, nil
}

// Drain commits a drain order and notifies the routers.
func (s *service) Drain(arguments *domainapi.DrainArguments, reply *domainapi.Reply) error {
	m, current, err := s.leader()
	if err == nil {
		err = proposeDrain(m, current, arguments.Drain)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func proposeDrain(m *member, current *leadership, order domain.ZoneDrain) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	// Append repeated orders as well: a contradicting order may be in flight.
	command, err := domain.Command{Drain: &order}.Encode()
	if err != nil {
		return err
	}
	if _, err := m.group.Propose(ctx, command); err != nil {
		return err
	}
	current.mutex.Lock()
	current.updateDrains()
	current.refresh(current.now())
	revision := current.views.Revision()
	current.relays.await(current.now(), revision)
	current.announcer.announce(current.now(), current.currentVersions())
	current.mutex.Unlock()
	current.wakePlan()
	current.awaitRouters(ctx, revision, current.now().Add(routerAckTimeout))
	if !current.isValid() {
		return notLeaderError(m)
	}
	return nil
}

// Drained returns the drained zones.
func (s *service) Drained(_ *domainapi.ReadArguments, reply *domainapi.DrainedReply) error {
	m, _, err := s.leader()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = m.group.Read(ctx)
	}
	if err == nil {
		m.group.View(func() { reply.Zones = m.machine.Drained() })
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// drains holds the leader's copy of the drained zones.
type drains struct {
	// since maps a drained zone to when this leader learned of the drain; the zero time if it
	// began before this leadership.
	since map[string]time.Time
	// endedAt maps a zone to when this leader learned that its drain ended.
	endedAt map[string]time.Time
}

func newDrains(zones []string) drains {
	made := drains{since: make(map[string]time.Time), endedAt: make(map[string]time.Time)}
	for _, zone := range zones {
		made.since[zone] = time.Time{}
	}
	return made
}

// update sets the drained zones and returns the zones whose drain began or ended.
func (d *drains) update(at time.Time, zones []string) (begun, ended []string) {
	for _, zone := range zones {
		if _, isKnown := d.since[zone]; !isKnown {
			d.since[zone] = at
			delete(d.endedAt, zone)
			begun = append(begun, zone)
		}
	}
	for zone := range d.since {
		if !slices.Contains(zones, zone) {
			delete(d.since, zone)
			d.endedAt[zone] = at
			ended = append(ended, zone)
		}
	}
	slices.Sort(ended)
	return begun, ended
}

func (d *drains) isDrained(zone string) bool {
	_, isDrained := d.since[zone]
	return isDrained
}

// isInGrace reports whether the runners of a drained zone still take requests for models
// loaded nowhere else.
func (d *drains) isInGrace(at time.Time, zone string) bool {
	since, isDrained := d.since[zone]
	return isDrained && !since.IsZero() && at.Sub(since) < soleReplicaGrace
}

// updateDrains reads the drained zones from the state machine. The caller holds the mutex.
func (l *leadership) updateDrains() {
	var zones []string
	l.member.group.View(func() { zones = l.member.machine.Drained() })
	begun, ended := l.drains.update(l.now(), zones)
	for _, zone := range begun {
		level.Info(l.logger).Log("msg", "A zone is drained.", "zone", zone, "sole_replicas_for", soleReplicaGrace)
	}
	for _, zone := range ended {
		level.Info(l.logger).Log("msg", "A zone is drained no more.", "zone", zone)
	}
	l.node.metrics.drained.Set(float64(len(zones)))
}

// markDrained marks the runners of drained zones. The caller holds the mutex.
func (l *leadership) markDrained(statuses []fleet.Status) {
	if len(l.drains.since) == 0 {
		return
	}
	for i := range statuses {
		statuses[i].Drained = l.drains.isDrained(statuses[i].Heartbeat.Zone)
	}
}

// drainView marks the runners of drained zones as leaving in a view. During the grace time
// they stay listed with the models that no other runner holds. The caller holds the mutex.
func (l *leadership) drainView(at time.Time, runners []fleet.Runner) {
	if len(l.drains.since) == 0 {
		return
	}
	elsewhere := make(map[string]map[string]bool)
	for _, runner := range runners {
		if runner.Leaving || l.drains.isDrained(runner.Zone) {
			continue
		}
		held := elsewhere[runner.Service]
		if held == nil {
			held = make(map[string]bool)
			elsewhere[runner.Service] = held
		}
		for _, model := range runner.Models {
			held[model.Name] = true
		}
	}
	for i := range runners {
		runner := &runners[i]
		if !l.drains.isDrained(runner.Zone) || runner.Leaving {
			continue
		}
		runner.Models = slices.DeleteFunc(slices.Clone(runner.Models), func(model fleet.LoadedModel) bool {
			return elsewhere[runner.Service][model.Name]
		})
		runner.Leaving = !l.drains.isInGrace(at, runner.Zone) || len(runner.Models) == 0
	}
}
