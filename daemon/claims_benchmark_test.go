package daemon

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	benchmarkMembers = 3
	// plannedClaims is the design load of one zone, in claims per second.
	plannedClaims = 130
	// plannedAnswerBytes is the size of an answer.
	plannedAnswerBytes = 400
)

// newClaimGroup runs a zone group of three members over loopback TCP with stores on
// disk, and returns the leader's node.
func newClaimGroup(b *testing.B) *zoneNode {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var servers []*transport.Server
	var members []group.Member
	var first raft.Membership
	for number := range benchmarkMembers {
		server, err := transport.NewServer(log.NewNopLogger(), transport.Options{Address: "127.0.0.1:0"})
		c.Assert(err, qt.IsNil)
		servers = append(servers, server)
		members = append(members, group.Member{Node: raft.NodeID(number + 1), Address: server.Address()})
		first.Voters = append(first.Voters, raft.NodeID(number+1))
	}
	var nodes []*zoneNode
	for number, server := range servers {
		node := raft.NodeID(number + 1)
		client := transport.NewClient(log.NewNopLogger(), transport.Options{})
		store, err := logstore.Open(filepath.Join(c.TempDir(), "z.db"), logstore.Identity{Group: "z", Daemon: "d", Node: node})
		c.Assert(err, qt.IsNil)
		machine := newZoneMachine("z")
		member, err := group.New(log.NewNopLogger(), group.Options{
			Name: "z", Node: node, Members: members, Bootstrap: first, Store: store, Client: client, Server: server,
			StateMachine: machine, Seed: uint64(node),
		})
		c.Assert(err, qt.IsNil)
		nodes = append(nodes, &zoneNode{id: "z", group: member, machine: machine})
		running.Go(server.Serve)
		running.Go(func() { _ = member.Run(ctx) })
		b.Cleanup(func() { _ = store.Close() })
		b.Cleanup(client.Close)
		b.Cleanup(server.Close)
	}
	b.Cleanup(running.Wait)
	b.Cleanup(cancel)
	b.Cleanup(func() {
		for _, server := range servers {
			server.Close()
		}
	})
	for {
		for _, node := range nodes {
			if _, valid := node.group.LeaderLease(); valid {
				return node
			}
		}
		pause.For(ctx, leadercall.RetryDelay)
	}
}

// claimStages returns the operations of one claim, in order.
func claimStages(number int64) []zone.ClaimOperation {
	held := zone.ClaimBeginCommand{
		Key:     structs.ClaimKey(fmt.Sprintf("weighbridge/z:lot-%06d", number)),
		Request: structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", number)),
		Digest:  1<<63 + uint64(number), Holder: "meknes-a-1", Session: 1<<62 + 1, HolderAddress: "10.20.1.7:7402",
	}
	held.Attempt, held.Runner, held.Incarnation = 1, "meknes-a-r03", 1_764_659_693
	held.Address, held.EngineRequest = "10.20.1.11:9000", held.Request+".1"
	return []zone.ClaimOperation{{Begin: &held}, {Finish: &zone.ClaimFinishCommand{
		Key: held.Key, Request: held.Request, State: structs.ClaimFinished, AnswerBytes: plannedAnswerBytes, AnswerHash: 1<<63 + uint64(number), ExpiresAt: time.Unix(1, 0),
	}}}
}

// processCPU returns the CPU time used by this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// claimSharing configures how claim operations share log entries.
type claimSharing struct {
	name     string
	shared   bool
	interval time.Duration
}

// claimLoad configures the load: each caller makes a claim every interval, or without
// pause if interval is 0.
type claimLoad struct {
	name     string
	callers  int
	interval time.Duration
}

// claimRun runs claims through a group and measures their cost.
type claimRun struct {
	node    *zoneNode
	batcher *claimBatcher
	sharing claimSharing
	load    claimLoad
	// claims is the total number, next the number of the last one started.
	claims               int64
	next, entries, bytes atomic.Int64
	retries, waited      atomic.Int64
}

func newClaimRun(b *testing.B, sharing claimSharing, load claimLoad) *claimRun {
	run := &claimRun{node: newClaimGroup(b), sharing: sharing, load: load, claims: int64(b.N)}
	run.batcher = newClaimBatcher("z", []structs.ZoneID{"z"}, run.propose)
	run.batcher.interval = sharing.interval
	return run
}

func (r *claimRun) propose(ctx context.Context, command zone.Command) (zone.Result, error) {
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		return zone.Result{}, err
	}
	r.entries.Add(1)
	r.bytes.Add(int64(len(encoded)))
	return r.node.proposeEncoded(ctx, encoded)
}

func (r *claimRun) operate(operation zone.ClaimOperation) error {
	command := zone.Command{ClaimBatch: &zone.ClaimBatchCommand{At: time.Now(), Operations: []zone.ClaimOperation{operation}}}
	if r.sharing.shared {
		_, err := r.batcher.submit(context.Background(), command)
		return err
	}
	_, err := r.propose(context.Background(), command)
	return err
}

// call makes claims as one caller until all have been made.
func (r *claimRun) call(caller int, started time.Time) {
	for turn := time.Duration(0); ; turn++ {
		number := r.next.Add(1)
		if number > r.claims {
			return
		}
		at := turn*r.load.interval + time.Duration(caller)*r.load.interval/time.Duration(r.load.callers)
		pause.For(context.Background(), time.Until(started.Add(at)))
		began := time.Now()
		for stage, operation := range claimStages(number) {
			if stage == 1 {
				r.waited.Add(int64(time.Since(began)))
			}
			for r.operate(operation) != nil {
				r.retries.Add(1)
			}
		}
	}
}

// measure makes all claims and reports their cost.
func (r *claimRun) measure(b *testing.B) {
	b.ResetTimer()
	before, started := processCPU(), time.Now()
	var callers sync.WaitGroup
	for caller := range r.load.callers {
		callers.Go(func() { r.call(caller, started) })
	}
	callers.Wait()
	b.StopTimer()
	claims := float64(r.claims)
	b.ReportMetric(claims/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(processCPU()-before)/claims/1000, "cpu-µs/claim")
	b.ReportMetric(float64(r.bytes.Load())/claims, "log-bytes/claim")
	b.ReportMetric(float64(r.waited.Load())/claims/1e6, "wait-ms/claim")
	b.ReportMetric(float64(r.retries.Load())/claims, "retries/claim")
	b.ReportMetric(float64(r.entries.Load())/claims, "entries/claim")
}

// BenchmarkClaims runs claims through a group of three members with synced logs, with
// one log entry per operation or with shared entries. The CPU time includes all three
// members and the callers.
func BenchmarkClaims(b *testing.B) {
	for _, sharing := range []claimSharing{
		{"entry=each", false, 0},
		{"entry=shared", true, 0},
		{"entry=10ms", true, 10 * time.Millisecond},
		{"entry=25ms", true, batchInterval},
		{"entry=50ms", true, 50 * time.Millisecond},
	} {
		for _, load := range []claimLoad{
			{"load=planned", 64, 64 * time.Second / plannedClaims},
			{"load=512callers", 512, 0},
		} {
			b.Run(sharing.name+"/"+load.name, func(b *testing.B) { newClaimRun(b, sharing, load).measure(b) })
		}
	}
}
