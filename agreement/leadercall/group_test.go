package leadercall_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	serviceName = "Member"
	methodAsk   = serviceName + ".Ask"
	callTimeout = 1200 * time.Millisecond
	tryTimeout  = 400 * time.Millisecond
)

// AskArguments are the arguments of Ask.
type AskArguments struct{}

// AskReply is the reply of Ask: the address of the leader, which answers, or an error.
type AskReply struct {
	Address string
	Error   *structs.Error
}

// Failure implements leadercall.Reply.
func (r *AskReply) Failure() *structs.Error { return r.Error }

// testGroup is a group of members without raft: tests elect the leader.
type testGroup struct {
	c         *qt.C
	options   transport.Options
	addresses []string
	closed    chan struct{}
	began     time.Time

	mutex  sync.Mutex
	leader string
	// isolated members know no leader, silent ones do not reply.
	isolated, silent map[string]bool
	// asked are the members asked, in order.
	asked []string
	// counts are the calls to each member in each second since the start.
	counts []map[string]int
}

// newTestGroup serves the given number of members until the test ends.
func newTestGroup(c *qt.C, members int) *testGroup {
	g := &testGroup{
		c: c, options: transport.Options{Network: networktest.NewMemory(0), CallTimeout: callTimeout},
		closed: make(chan struct{}), began: time.Now(), isolated: make(map[string]bool), silent: make(map[string]bool),
	}
	for i := range members {
		options := g.options
		options.Address = fmt.Sprintf("10.0.0.%d:7000", i+1)
		server, err := transport.NewServer(log.NewNopLogger(), options)
		c.Assert(err, qt.IsNil)
		c.Assert(server.Register(serviceName, &memberService{group: g, address: options.Address}), qt.IsNil)
		go server.Serve()
		c.Cleanup(server.Close)
		g.addresses = append(g.addresses, options.Address)
	}
	c.Cleanup(func() { close(g.closed) })
	return g
}

// client returns a client, which is closed when the test ends.
func (g *testGroup) client() *transport.Client {
	client := transport.NewClient(log.NewNopLogger(), g.options)
	g.c.Cleanup(client.Close)
	return client
}

// caller returns a caller with a client of its own.
func (g *testGroup) caller() *leadercall.Caller {
	return leadercall.New(g.client(), g.addresses).WithTryTimeout(tryTimeout)
}

// elect makes the member with the address the leader, "" for none.
func (g *testGroup) elect(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leader = address
}

// takeAsked returns the members asked since the last call, in order.
func (g *testGroup) takeAsked() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	asked := g.asked
	g.asked = nil
	return asked
}

// callsOf returns the calls to the busiest member and to all in each second.
func (g *testGroup) callsOf() (busiest, all []int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, counts := range g.counts {
		most, sum := 0, 0
		for _, count := range counts {
			most = max(most, count)
			sum += count
		}
		busiest, all = append(busiest, most), append(all, sum)
	}
	return busiest, all
}

// count counts a call. The caller holds the mutex.
func (g *testGroup) count(address string) {
	g.asked = append(g.asked, address)
	second := int(time.Since(g.began) / time.Second)
	for len(g.counts) <= second {
		g.counts = append(g.counts, make(map[string]int))
	}
	g.counts[second][address]++
}

// memberService is a member of a testGroup.
type memberService struct {
	group   *testGroup
	address string
}

// Ask is answered by the leader.
func (s *memberService) Ask(_ *AskArguments, reply *AskReply) error {
	g := s.group
	g.mutex.Lock()
	g.count(s.address)
	leader, isSilent := g.leader, g.silent[s.address]
	if g.isolated[s.address] {
		leader = ""
	}
	g.mutex.Unlock()
	if isSilent {
		<-g.closed
	}
	if leader == s.address {
		reply.Address = s.address
		return nil
	}
	reply.Error = structs.NewError(structs.ErrorNotLeader, "this member does not lead", "Ask the leader.")
	reply.Error.Leader = leader
	return nil
}

// ask calls the leader and returns the address of the member that answered.
func ask(ctx context.Context, caller *leadercall.Caller, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := leadercall.Call(ctx, caller, methodAsk, AskArguments{}, func() *AskReply { return &AskReply{} })
	return reply.Address, err
}
