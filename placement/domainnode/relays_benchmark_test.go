package domainnode

import (
	"encoding/gob"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/shares"
)

const (
	benchmarkRunners = 80
	benchmarkRelays  = 7
)

// benchmarkAnnouncer is a leadership that announces changes to routers or relays.
type benchmarkAnnouncer struct {
	*leadership
	at         time.Time
	heartbeats []fleet.Heartbeat
}

func newBenchmarkAnnouncer() *benchmarkAnnouncer {
	at := time.Unix(1000, 0)
	l, heartbeats := benchmarkLeadership(benchmarkRunners, at)
	l.term, l.logger, l.streams = 3, log.NewNopLogger(), fleet.NewLossTracker()
	l.options.Regions = map[string]string{"zone-0": "a", "zone-1": "b"}
	l.poison, l.shares, l.announcer = poison.New(), shares.New(at), newAnnouncer()
	l.routers, l.relays = make(map[string]routerContact), newRelays()
	for i := range 35 {
		l.loads = append(l.loads, fleet.Load{Instance: heartbeats[i].Instance, Requests: 12, Reading: 0.25})
	}
	return &benchmarkAnnouncer{leadership: l, at: at, heartbeats: heartbeats}
}

// change publishes and announces the change of a runner.
func (a *benchmarkAnnouncer) change(round int) {
	heard := &a.heartbeats[round%benchmarkRunners]
	heard.Sequence++
	heard.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", round%7)}}
	a.registry.ObserveHeartbeat(a.at, *heard)
	a.refresh(a.at)
	a.announcer.announce(a.at, stateVersions{view: a.views.Revision()})
}

// BenchmarkLeaderAnswers measures the leader's work for one announced change: the answers to all
// routers, or to relays that tell of the routers, with their encoding.
func BenchmarkLeaderAnswers(b *testing.B) {
	for _, routers := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint("routers=", routers), func(b *testing.B) { benchmarkWatches(b, routers) })
		b.Run(fmt.Sprint("relayed=", routers), func(b *testing.B) { benchmarkMirrors(b, routers) })
	}
}

func benchmarkWatches(b *testing.B, routers int) {
	a := newBenchmarkAnnouncer()
	encoders := make([]*gob.Encoder, routers)
	known := make([]uint64, routers)
	for i := range encoders {
		encoders[i] = gob.NewEncoder(io.Discard)
	}
	b.ReportAllocs()
	for round := 0; b.Loop(); round++ {
		a.change(round)
		for i := range routers {
			arguments := domainapi.WatchArguments{Router: fmt.Sprint("router-", i), Version: 1, Term: uint64(a.term), Revision: known[i]}
			var reply domainapi.WatchReply
			reply.Routers, reply.Hold = a.recordContact(arguments.Router, known[i], domainapi.MaxHold)
			a.fillReply(&reply, &arguments, known[i], a.poison.Revision(), domain.Document{Version: 1}, true)
			known[i] = reply.Revision
			_ = encoders[i].Encode(&reply)
		}
	}
}

func benchmarkMirrors(b *testing.B, routers int) {
	a := newBenchmarkAnnouncer()
	encoders := make([]*gob.Encoder, benchmarkRelays)
	questions := make([]domainapi.MirrorArguments, benchmarkRelays)
	for i := range encoders {
		encoders[i] = gob.NewEncoder(io.Discard)
		questions[i] = domainapi.MirrorArguments{Relay: fmt.Sprint("relay-", i), Address: fmt.Sprint("a", i), Version: 1, Term: uint64(a.term)}
	}
	for i := range routers {
		of := &questions[i%benchmarkRelays]
		of.Routers = append(of.Routers, domainapi.RelayedRouter{Router: fmt.Sprint("router-", i), Revision: 1, HoldMS: 500})
	}
	b.ReportAllocs()
	for round := 0; b.Loop(); round++ {
		a.change(round)
		for i := range questions {
			question := &questions[i]
			var reply domainapi.MirrorReply
			from := a.recordMirror(question)
			a.mutex.Lock()
			a.fillMirror(from, question, domain.Document{Version: 1}, &reply)
			a.mutex.Unlock()
			question.Revision, question.Announced = reply.State.Revision, reply.Announced
			_ = encoders[i].Encode(&reply)
		}
	}
}
