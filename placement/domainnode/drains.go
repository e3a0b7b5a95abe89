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

// soleReplicaGrace is how long after the order a drained zone's runners still take requests for models
// that no runner elsewhere holds, while these are loaded elsewhere. It is half of the shortest time that
// operators give a drain, 5 s; routers learn of its end within domainapi.MostHold.
const soleReplicaGrace = 2500 * time.Millisecond

// DrainZone takes an operator's order that the runners of a zone get no new requests, or its withdrawal. It
// returns once the order is durable and the routers in contact know of it, or have had the time to. The error
// is of kind ErrorNotFound for a zone that the site does not have; others say that the outcome is unknown.
func (n *Node) DrainZone(ctx context.Context, order domain.ZoneDrain) error {
	if !slices.Contains(n.options.Zones, order.Zone) {
		err := structs.NewError(structs.ErrorNotFound, fmt.Sprintf("the site has no zone %q", order.Zone),
			fmt.Sprintf("Name one of %q.", n.options.Zones))
		level.Info(n.logger).Log("msg", "An order about an unknown zone was refused.", "zone", order.Zone, "drained", order.IsDrained)
		n.metrics.drains.WithLabelValues("invalid").Inc()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	_, err := leadercall.Call(ctx, n.caller, domainapi.MethodDrain, domainapi.DrainArguments{Drain: order}, newReply)
	n.metrics.drains.WithLabelValues(outcomeName(err)).Inc()
	level.Info(n.logger).Log("msg", "An order about a zone was given.", "zone", order.Zone, "drained", order.IsDrained, "err", err)
	return err
}

// DrainedZones lists the drained zones, as new as any order that was acknowledged before.
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

// Drain makes an order about a zone durable and known to the routers.
func (s *service) Drain(arguments *domainapi.DrainArguments, reply *domainapi.Reply) error {
	joined, current, err := s.leader()
	if err == nil {
		err = drain(joined, current, arguments.Drain)
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

func drain(joined *member, current *leadership, order domain.ZoneDrain) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	// An order that repeats what holds goes into the log as well: one that contradicts it may be under way.
	command, err := domain.Command{Drain: &order}.Encode()
	if err != nil {
		return err
	}
	if _, err := joined.group.Propose(ctx, command); err != nil {
		return err
	}
	current.mutex.Lock()
	current.adoptDrains()
	current.refresh(current.now())
	revision := current.views.Revision()
	current.announcer.announce(current.now(), current.news())
	current.mutex.Unlock()
	current.wakePlan()
	current.awaitTold(ctx, revision)
	if !current.isValid() {
		return notLeaderError(joined)
	}
	return nil
}

// Drained lists the drained zones.
func (s *service) Drained(_ *domainapi.ReadArguments, reply *domainapi.DrainedReply) error {
	joined, _, err := s.leader()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		err = joined.group.Read(ctx)
	}
	if err == nil {
		joined.group.View(func() { reply.Zones = joined.machine.Drained() })
	}
	reply.Error = structs.AsTyped(err)
	return nil
}

// drains are the drained zones as a leader knows them.
type drains struct {
	// since is when this leader learned that each zone is drained; the zero time for one that was drained
	// before it led.
	since map[string]time.Time
	// endedAt is when it learned that a zone is drained no more.
	endedAt map[string]time.Time
}

func newDrains(zones []string) drains {
	made := drains{since: make(map[string]time.Time), endedAt: make(map[string]time.Time)}
	for _, zone := range zones {
		made.since[zone] = time.Time{}
	}
	return made
}

// adopt takes which zones are drained now. It returns those that were not before, and those that were.
func (d *drains) adopt(at time.Time, zones []string) (begun, ended []string) {
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

// isDrained reports whether the runners of a zone get no new requests.
func (d *drains) isDrained(zone string) bool {
	_, isDrained := d.since[zone]
	return isDrained
}

// isInGrace reports whether the runners of a drained zone still take requests for what nobody else holds.
func (d *drains) isInGrace(at time.Time, zone string) bool {
	since, isDrained := d.since[zone]
	return isDrained && !since.IsZero() && at.Sub(since) < soleReplicaGrace
}

// adoptDrains takes the drained zones from the log. It runs under the mutex.
func (l *leadership) adoptDrains() {
	var zones []string
	l.member.group.View(func() { zones = l.member.machine.Drained() })
	begun, ended := l.drains.adopt(l.now(), zones)
	for _, zone := range begun {
		level.Info(l.logger).Log("msg", "A zone is drained.", "zone", zone, "sole_replicas_for", soleReplicaGrace)
	}
	for _, zone := range ended {
		level.Info(l.logger).Log("msg", "A zone is drained no more.", "zone", zone)
	}
	l.node.metrics.drained.Set(float64(len(zones)))
}

// drainStatuses marks the runners of drained zones. It runs under the mutex.
func (l *leadership) drainStatuses(statuses []fleet.Status) {
	if len(l.drains.since) == 0 {
		return
	}
	for i := range statuses {
		statuses[i].Drained = l.drains.isDrained(statuses[i].Heartbeat.Zone)
	}
}

// drainRunners has the runners of drained zones leave, but for the models that no other runner holds while
// these may still be served there. It runs under the mutex.
func (l *leadership) drainRunners(at time.Time, runners []fleet.Runner) {
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
