package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

// onlyPeer is the address of the only peer.
const onlyPeer = "peer"

// eventTimes returns when something happens during a request: right after it was sent or amid its stream, and in a silence of its
// runner, before and after its limit.
func eventTimes(path string) []time.Duration {
	if modelOf(path) == "" {
		return []time.Duration{steadyHead / 2, 550 * time.Millisecond, 700 * time.Millisecond}
	}
	return []time.Duration{steadyHead / 2, 850 * time.Millisecond, 1850 * time.Millisecond}
}

// unreachableNetwork is a network on which no connect succeeds.
type unreachableNetwork struct{}

func (unreachableNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.New("listening is not supported")
}

func (unreachableNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

// runningRequest is a request in progress at a sound runner.
type runningRequest struct {
	router *Router
	// instance is its runner, zone the zone of that, and copyTo the address of the standby; empty for none.
	instance string
	zone     structs.ZoneID
	copyTo   string
	row      residency.Row
	request  *Request
}

// listedWithout returns the usual view without some runners.
func (q *runningRequest) listedWithout(isExcluded func(*fleet.Runner) bool) fleet.View {
	q.router.mutex.Lock()
	defer q.router.mutex.Unlock()
	view := fleet.View{Complete: true}
	for _, instance := range q.router.fleet.Instances() {
		if runner := *q.router.fleet.Runner(instance); !isExcluded(&runner) {
			view.Runners = append(view.Runners, runner)
		}
	}
	return view
}

func (q *runningRequest) isOwn(runner *fleet.Runner) bool { return runner.Instance == q.instance }

// changeOwn has the router adopt a view in which the runner of the request is changed.
func (q *runningRequest) changeOwn(edit func(*fleet.Runner)) {
	view := q.listedWithout(func(*fleet.Runner) bool { return false })
	for i := range view.Runners {
		if q.isOwn(&view.Runners[i]) {
			edit(&view.Runners[i])
		}
	}
	q.router.adoptView(view)
}

// locked calls do with the router locked.
func (q *runningRequest) locked(do func(r *Router)) {
	q.router.mutex.Lock()
	defer q.router.mutex.Unlock()
	do(q.router)
}

// loseZone has connects to all runners of the request's zone fail, while open connections go on.
func (q *runningRequest) loseZone() {
	q.locked(func(r *Router) {
		var probes []zonewatch.Probe
		if listed := r.zones.watch.RunnersOf(q.zone); len(listed) > 0 {
			probes = r.zones.watch.ConnectFailed(r.now(), listed[0])
		}
		for len(probes) > 0 {
			next := probes[0]
			probes = probes[1:]
			if next.Zone != q.zone {
				continue
			}
			changed, more := r.zones.watch.Probed(r.now(), next, zonewatch.OutcomeFailed)
			for _, each := range changed {
				r.applyZoneChange(each)
			}
			probes = append(probes, more...)
		}
	})
}

// events are what may happen while a request runs, none of which ends the connection to its runner.
func runningEvents() map[string]func(*runningRequest) {
	return map[string]func(*runningRequest){
		"nothing": func(*runningRequest) {},
		"the runner says that it is leaving": func(q *runningRequest) {
			q.locked(func(r *Router) { r.noteNotice(structs.RunnerID(q.instance), notice.Notice{IsLeaving: true}) })
		},
		"the runner asks for a cooldown": func(q *runningRequest) {
			q.locked(func(r *Router) { r.noteNotice(structs.RunnerID(q.instance), notice.Notice{Cooldown: 5 * time.Second}) })
		},
		"the runner is listed as leaving": func(q *runningRequest) { q.changeOwn(func(runner *fleet.Runner) { runner.Leaving = true }) },
		"the runner is no longer listed":  func(q *runningRequest) { q.router.adoptView(q.listedWithout(q.isOwn)) },
		"no runner is listed":             func(q *runningRequest) { q.router.adoptView(fleet.View{Complete: true}) },
		"a new leader knows no runner": func(q *runningRequest) {
			q.router.adoptView(fleet.View{})
			q.router.adoptView(fleet.View{Partial: true, Complete: true})
		},
		"the runner is listed again": func(q *runningRequest) {
			former := q.listedWithout(func(*fleet.Runner) bool { return false })
			q.router.adoptView(q.listedWithout(q.isOwn))
			time.Sleep(100 * time.Millisecond)
			q.router.adoptView(former)
		},
		"another incarnation registers": func(q *runningRequest) {
			q.changeOwn(func(runner *fleet.Runner) { runner.Instance = fleet.Incarnation(runner.Instance, 5) })
		},
		"another runner registers at the address": func(q *runningRequest) {
			q.changeOwn(func(runner *fleet.Runner) { runner.Instance = "another" })
		},
		"the runner moves to another zone": func(q *runningRequest) { q.changeOwn(func(runner *fleet.Runner) { runner.Zone = "s1" }) },
		"the model is no longer listed":    func(q *runningRequest) { q.changeOwn(func(runner *fleet.Runner) { runner.Models = nil }) },
		"another request finds no model":   func(q *runningRequest) { q.router.noteNotHeld(structs.RunnerID(q.instance), q.row) },
		"the runner is failing":            func(q *runningRequest) { q.changeOwn(func(runner *fleet.Runner) { runner.Failing = true }) },
		"other connections break": func(q *runningRequest) {
			for range 4 {
				q.router.connectionBroke(structs.RunnerID(q.instance))
				q.router.noteUnreachable(structs.RunnerID(q.instance))
			}
		},
		"connects fail": func(q *runningRequest) {
			for range 4 {
				q.router.connectFailed(structs.RunnerID(q.instance))
			}
		},
		"the zone is lost": (*runningRequest).loseZone,
		"the zone is lost and reached again": func(q *runningRequest) {
			q.loseZone()
			time.Sleep(50 * time.Millisecond)
			q.locked(func(r *Router) { r.applyZoneChange(zonewatch.Change{Zone: q.zone}) })
		},
		"the peer is lost":     func(q *runningRequest) { q.router.watchPeer(context.Background(), onlyPeer) },
		"a rate limit is told": func(q *runningRequest) { q.locked(func(r *Router) { r.limitRunner(q.instance) }) },
		"the runners are brittle": func(q *runningRequest) {
			q.locked(func(r *Router) {
				answer := &Answer{Status: http.StatusOK, Signed: true, Notice: notice.Notice{Brittle: notice.Brittle{IsNamed: true, PerSecond: 1}}}
				r.observeBrittle(structs.RunnerID(q.instance), r.now(), answer)
			})
		},
		"the request is suspected": func(q *runningRequest) {
			q.locked(func(r *Router) {
				r.suspects.adopt(r.now(), &poison.List{Entries: []poison.Entry{{Digest: q.request.digest("")}}})
			})
		},
		"the standby is no longer listed": func(q *runningRequest) {
			q.router.adoptView(q.listedWithout(func(runner *fleet.Runner) bool { return runner.Address == q.copyTo }))
		},
	}
}

// limitRunner has a runner name a rate limit. The caller must hold r.mutex.
func (r *Router) limitRunner(instance string) {
	r.noteLimit(structs.RunnerID(instance), r.now(), ratelimit.Notice{IsNamed: true, PerSecond: 0.1})
}

// surroundings are what the router could do with a request whose runner is silent.
type surroundings struct {
	name    string
	prepare func(*Router)
	// instead and losesCopies are those of steadyRunners.
	instead     func(number int, attempt *Attempt) (*Answer, error)
	losesCopies bool
	// mayRun is set if the answers of instead don't rule out that their runners ran the request.
	mayRun bool
}

// notFirst returns an answer for all attempts but the first.
func notFirst(answer func() (*Answer, error)) func(int, *Attempt) (*Answer, error) {
	return func(number int, _ *Attempt) (*Answer, error) {
		if number == 1 {
			return nil, nil
		}
		return answer()
	}
}

func allSurroundings() []surroundings {
	return []surroundings{
		{name: "others are free"},
		{name: "no other runner", prepare: func(router *Router) {
			view := changingView()
			view.Runners = slices.DeleteFunc(view.Runners, func(runner fleet.Runner) bool {
				return runner.Zone != "n1" && (runner.Service == "plain" || runner.Service == "engine")
			})
			router.adoptView(view)
		}},
		{name: "no retries", prepare: func(router *Router) { router.routerCount = routerCount{} }},
		{name: "others reject", instead: notFirst(shed)},
		{name: "others fail", instead: notFirst(failed), mayRun: true},
		{name: "others break", instead: notFirst(broken), mayRun: true},
		{name: "others are not reached", instead: notFirst(notSent)},
		{name: "others lack the model", instead: notFirst(func() (*Answer, error) {
			answer, err := newAnswer(http.StatusMisdirectedRequest, "")
			answer.NotHeld = true
			return answer, err
		})},
		{name: "copies are lost", losesCopies: true},
		{name: "through a peer", prepare: goThroughPeer},
		{name: "through a peer, no retries", prepare: func(router *Router) {
			goThroughPeer(router)
			router.routerCount = routerCount{}
		}},
	}
}

// goThroughPeer has all runners reached through a peer.
func goThroughPeer(router *Router) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.peers.paths.SetPeers([]paths.Peer{{Name: "other", Address: onlyPeer, Zone: "n1"}})
	for _, zone := range []structs.ZoneID{"n1", "n2", "n3"} {
		for _, probe := range router.peers.paths.ZoneLost(router.now(), zone) {
			for _, change := range router.peers.paths.Probed(router.now(), probe, paths.OutcomeReached) {
				router.applyPathChange(change)
			}
		}
	}
}

// soundCase is a request whose runner is sound: it is silent for a time at most.
type soundCase struct {
	path   string
	silent time.Duration
	around surroundings
	event  func(*runningRequest)
	at     time.Duration
}

// isWhole sends the request and reports whether its answer is whole, and how it ended.
func (s *soundCase) isWhole(c *qt.C) (isWhole bool, how string) {
	silentEvent := 4
	if modelOf(s.path) == "" {
		silentEvent = 0
	}
	runners := &steadyRunners{
		copies: make(map[string]bool), pause: pauseFirst(silentEvent, s.silent), instead: s.around.instead, losesCopies: s.around.losesCopies,
	}
	router := newChangingRouter(runners, 50)
	router.options.Dialer = NewRunnerDialer(unreachableNetwork{})
	if s.around.prepare != nil {
		s.around.prepare(router)
	}
	request := &Request{ID: "id", Wait: 9 * time.Second, ResumeAfter: NoEvent}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(s.at)
		s.event(runners.firstRequest(router, request))
	}()
	recorder, aborted := askChanging(router, request, s.path)
	<-done
	time.Sleep(handleTTL + time.Second)
	assertNothingInProgress(c, router)
	isWhole = !aborted && recorder.Code == http.StatusOK && recorder.Body.String() == wholeBody(s.path, 0)
	return isWhole, fmt.Sprintf("status %d, aborted %t, %d sends: %q", recorder.Code, aborted, len(runners.attempts), recorder.Body)
}

// firstRequest returns the request of the first attempt.
func (b *steadyRunners) firstRequest(router *Router, request *Request) *runningRequest {
	b.mutex.Lock()
	first := b.attempts[0]
	b.mutex.Unlock()
	running := &runningRequest{router: router, instance: first.Instance, copyTo: first.CopyTo, request: request}
	running.row = residency.Row{Service: first.Service, Model: request.Model}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	running.zone = router.zones.watch.ZoneOf(structs.RunnerID(first.Instance))
	return running
}

// soundSilences are for how long a sound runner may be silent: not at all, below the limit of streams, and above all limits.
var soundSilences = []time.Duration{0, time.Second, 2900 * time.Millisecond}

// needsStandby reports whether a stream that may run only once is left for a standby that does not continue it.
func (s *surroundings) needsStandby() bool { return s.instead != nil || s.losesCopies }

// Guards against the answer of a sound runner that is cut because of something that the router learns meanwhile of the runner, its
// zone, or the way to it.
func TestSoundRunnerKeepsItsRequest(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream-once/x", "/again/x", "/once/x"} {
		for _, around := range allSurroundings() {
			if path != "/stream-once/x" || !around.needsStandby() {
				checkSoundRunner(t, path, around)
			}
		}
	}
}

// checkSoundRunner checks that the answers of a sound runner are whole, whatever happens meanwhile.
func checkSoundRunner(t *testing.T, path string, around surroundings) {
	t.Helper()
	for _, silent := range soundSilences {
		for name, event := range runningEvents() {
			for _, at := range eventTimes(path) {
				t.Run(fmt.Sprintf("%s silent for %v/%s/%s/at %v", path[1:len(path)-2], silent, around.name, name, at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := qt.New(t)
						isWhole, how := (&soundCase{path, silent, around, event, at}).isWhole(c)
						c.Check(isWhole, qt.IsTrue, qt.Commentf("%s", how))
					})
				})
			}
		}
	}
}
