package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// claimsZone is a zone leader with real state but no log. It fails the first calls; if
// late is set, it executes them before failing.
type claimsZone struct {
	mutex    sync.Mutex
	state    *zone.State
	failures int
	late     bool
	calls    int
	renewed  []structs.RequestID
}

// Claims implements the method of the service "Zone".
func (z *claimsZone) Claims(arguments ClaimsArguments, reply *ClaimsReply) error {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.calls++
	z.renewed = arguments.Renew
	fails := z.calls <= z.failures
	if len(arguments.Command) > 0 && (z.late || !fails) {
		command, err := zone.DecodeCommand(arguments.Command)
		if err != nil {
			return err
		}
		reply.Results = z.state.Apply(z.state.Index()+1, command).Batch
	}
	if fails {
		reply.Error = structs.NewError(structs.ErrorInternal, "the answer is lost", "Send it again.")
	}
	return nil
}

func (z *claimsZone) claim() structs.Claim {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	claim, _ := z.state.Claim("caller/a:key")
	return claim
}

// newClaimsSite serves zone a and returns the claim manager of a router there. Zone b
// has no listener.
func newClaimsSite(c *qt.C) (*claimsZone, *claimManager) {
	served := &claimsZone{state: zone.New("a")}
	options := transport.Options{Address: "127.0.0.1:0", Network: networktest.NewMemory(0)}
	server, err := transport.NewServer(log.NewNopLogger(), options)
	c.Assert(err, qt.IsNil)
	c.Assert(server.Register("Zone", served), qt.IsNil)
	var serving sync.WaitGroup
	serving.Go(server.Serve)
	closed, err := transport.NewServer(log.NewNopLogger(), options)
	c.Assert(err, qt.IsNil)
	unreachable := closed.Address()
	closed.Close()
	client := transport.NewClient(log.NewNopLogger(), options)
	c.Cleanup(func() {
		client.Close()
		server.Close()
		serving.Wait()
	})
	site := config.Site{Zones: []config.Zone{
		{ID: "a", Controllers: []config.Member{{Address: server.Address()}}},
		{ID: "b", Controllers: []config.Member{{Address: unreachable}}},
	}}
	holder := structs.ClaimHolder{Daemon: "daemon", Session: 5}
	return served, newClaimManager(log.NewNopLogger(), client, site, "a", holder)
}

func beginEffect(home structs.ZoneID) router.BeginClaim {
	return router.BeginClaim{ID: "request", Claim: structs.Claim{
		Key: structs.ClaimKey("caller/" + string(home) + ":key"), Request: "request", Home: home,
		Holder: "daemon", Session: 5, HolderAddress: "127.0.0.1:7", Digest: 1,
	}}
}

func finishEffect(answer string) router.FinishClaim {
	claim := beginEffect("a").Claim
	claim.State, claim.Answer, claim.ExpiresAt = structs.ClaimFinished, router.MarkAnswer([]byte(answer)), time.Unix(1_000_000, 0)
	return router.FinishClaim{ID: "request", Claim: claim, Answer: []byte(answer)}
}

func TestBeginCommandCarriesAttemptAndHolderAddress(t *testing.T) {
	effect := beginEffect("a")
	effect.Choice, effect.Claim.Runner, effect.Claim.Incarnation = 3, "runner", 7
	effect.Claim.Address, effect.Claim.EngineRequest = "127.0.0.1:1", "request.2"
	qt.Assert(t, *beginCommand(effect), qt.Equals, zone.ClaimBeginCommand{
		Key: "caller/a:key", Request: "request", Digest: 1, Holder: "daemon", Session: 5, Attempt: 3, Runner: "runner",
		Incarnation: 7, Address: "127.0.0.1:1", EngineRequest: "request.2", HolderAddress: "127.0.0.1:7",
	})
}

func TestFinishRetriesUntilRecorded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		about  string
		late   bool
		answer string
		state  structs.ClaimState
	}{
		{"the call is lost", false, "done", structs.ClaimFinished},
		{"the answer to the call is lost", true, "done", structs.ClaimFinished},
	} {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				served, manager := newClaimsSite(c)
				c.Assert(manager.begin(context.Background(), beginEffect("a")).New, qt.IsTrue)
				served.failures, served.late = 3, test.late
				manager.finish(context.Background(), finishEffect(test.answer))
				c.Assert(served.claim().State, qt.Equals, test.state)
				c.Assert(served.claim().Answer, qt.Equals, router.MarkAnswer([]byte(test.answer)))
				c.Assert(manager.Drain(context.Background()), qt.Equals, 0)
				c.Assert(manager.homes["a"].requests, qt.HasLen, 0)
			})
		})
	}
}

func TestDrainWaitsForEndsUntilContextIsDone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, manager := newClaimsSite(c)
		home := manager.homes["a"]
		c.Assert(home.admit("request"), qt.IsTrue)
		c.Assert(manager.Drain(context.Background()), qt.Equals, 0)
		c.Assert(home.startEnd("request"), qt.IsTrue)
		over, cancel := context.WithCancel(context.Background())
		cancel()
		c.Assert(manager.Drain(over), qt.Equals, 1)
	})
}

func TestUnreachableZoneIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served, manager := newClaimsSite(c)
		timeout := manager.homes["b"].timeout
		manager.homes["b"].timeout = 20 * time.Millisecond
		first := manager.begin(context.Background(), beginEffect("b"))
		manager.homes["b"].timeout = timeout
		c.Assert(first.NotAsked, qt.IsFalse)
		c.Assert(first.Error.Kind, qt.Equals, structs.ErrorUnavailable)
		// The context is already done, so a call would fail.
		over, cancel := context.WithCancel(context.Background())
		cancel()
		second := manager.begin(over, beginEffect("b"))
		c.Assert(second.NotAsked, qt.IsTrue)
		c.Assert(second.Error.RetryAfter > 0, qt.IsTrue)
		c.Assert(manager.begin(context.Background(), beginEffect("a")).New, qt.IsTrue)
		// The zone is reachable again, at the address of zone a.
		back := manager.homes["b"]
		back.leader = manager.homes["a"].leader
		requests, due := back.startRenewal(time.Now())
		c.Assert(due, qt.IsTrue)
		manager.renew(context.Background(), back, requests)
		c.Assert(served.renewed, qt.DeepEquals, []structs.RequestID{"request"})
		c.Assert(manager.begin(context.Background(), beginEffect("b")).New, qt.IsTrue)
	})
}

func TestFinishIgnoresUnregisteredRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served, manager := newClaimsSite(c)
		manager.finish(context.Background(), finishEffect("done"))
		c.Assert(served.calls, qt.Equals, 0)
	})
}

func TestClaimOfAnotherRequestIsNotRenewed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served, manager := newClaimsSite(c)
		other := beginEffect("a")
		other.ID, other.Claim.Request = "other", "other"
		c.Assert(manager.begin(context.Background(), other).New, qt.IsTrue)
		reply := manager.begin(context.Background(), beginEffect("a"))
		c.Assert(reply.New, qt.IsFalse)
		c.Assert(reply.Claim.Request, qt.Equals, structs.RequestID("other"))
		requests, _ := manager.homes["a"].startRenewal(time.Now())
		c.Assert(requests, qt.DeepEquals, []structs.RequestID{"other"})
		c.Assert(served.calls, qt.Equals, 2)
	})
}

func TestConcurrentClaimsShareLogEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		state := zone.New("a")
		proposing, proceed := make(chan int), make(chan struct{})
		batcher := newClaimBatcher("a", []structs.ZoneID{"a", "b"}, func(_ context.Context, command zone.Command) (zone.Result, error) {
			proposing <- len(command.ClaimBatch.Operations)
			<-proceed
			return state.Apply(state.Index()+1, command), nil
		})
		var submissions []*claimSubmission
		for number := range 4 {
			begin := beginCommand(beginEffect("a"))
			begin.Request = structs.RequestID(fmt.Sprint(number))
			submission := &claimSubmission{operations: []zone.ClaimOperation{{Begin: begin}}, done: make(chan claimOutcome, 1)}
			submissions = append(submissions, submission)
			batcher.enqueue(submission)
			if number == 0 {
				c.Assert(<-proposing, qt.Equals, 1)
			}
		}
		proceed <- struct{}{}
		c.Assert(<-proposing, qt.Equals, 3)
		proceed <- struct{}{}
		for number, submission := range submissions {
			outcome := <-submission.done
			c.Assert(outcome.err, qt.IsNil)
			c.Assert(outcome.results, qt.HasLen, 1)
			c.Assert(outcome.results[0].ClaimNew, qt.Equals, number == 0)
		}
		// Waits for the batcher's pause after its last entry.
		time.Sleep(batcher.interval)
	})
}

func TestBatcherRejectsKeysOfOtherZones(t *testing.T) {
	batcher := newClaimBatcher("b", []structs.ZoneID{"a", "b"}, nil)
	begin := beginCommand(beginEffect("a"))
	_, err := batcher.submit(context.Background(), zone.Command{ClaimBatch: &zone.ClaimBatchCommand{Operations: []zone.ClaimOperation{{Begin: begin}}}})
	qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	_, err = batcher.submit(context.Background(), zone.Command{ClaimBegin: begin})
	qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
}
