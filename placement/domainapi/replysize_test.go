package domainapi

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/shares"
)

// sizer measures messages as they follow each other on a connection of net/rpc: types are sent once.
type sizer struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newSizer() *sizer {
	s := &sizer{}
	s.encoder = gob.NewEncoder(&s.buffer)
	return s
}

func (s *sizer) size(c *qt.C, header, body any) int {
	c.Helper()
	s.buffer.Reset()
	c.Assert(s.encoder.Encode(header), qt.IsNil)
	c.Assert(s.encoder.Encode(body), qt.IsNil)
	return s.buffer.Len()
}

// busyLoads returns the loads of the busy ones of 60 runners.
func busyLoads(busy int) []fleet.Load {
	random := rand.New(rand.NewPCG(1, 1))
	loads := make([]fleet.Load, busy)
	for i := range loads {
		loads[i] = fleet.Load{
			Instance: fleet.Incarnation(fmt.Sprintf("i-%010x", random.Uint64N(1<<40)), 1772200565576+random.Int64N(600_000)),
			Requests: 1 + random.IntN(20), Reading: float64(random.IntN(80)) / 64,
		}
	}
	return loads
}

func controllerList() (addresses []string) {
	for i := range 6 {
		addresses = append(addresses, fmt.Sprintf("10.%d.14.%d:7946", i, 20+i))
	}
	return addresses
}

// A watch reply without a view must stay small: each router gets several a second. The sizes
// without this encoding are those of a reply to a router of the previous release.
func TestWatchReplySize(t *testing.T) {
	c := qt.New(t)
	loads := busyLoads(35)
	fixed := WatchReply{
		Term: 3, Revision: 41_234, Hold: 500 * time.Millisecond, Confirmed: 17, Routers: 82, Shares: shares.Overuse{IsKnown: true},
	}
	previous, packed, kept := fixed, fixed, fixed
	previous.Loads, previous.Controllers = loads, controllerList()
	packed.PackedLoads = fleet.PackLoads(loads)
	kept.KeepsLoads = true
	header := &rpc.Response{ServiceMethod: MethodWatch, Seq: 123_456}
	s := newSizer()
	for _, first := range []*WatchReply{&previous, &packed, &kept} {
		s.size(c, header, first)
	}
	bare := s.size(c, header, &fixed)
	before, with, without := s.size(c, header, &previous), s.size(c, header, &packed), s.size(c, header, &kept)
	arguments := &WatchArguments{Router: "router-0123456789", Version: 17, Term: 3, Revision: 41_234, Suspects: 4, MaxHold: MaxHold}
	request := &rpc.Request{ServiceMethod: MethodWatch, Seq: 123_456}
	s.size(c, request, arguments)
	askedBefore := s.size(c, request, arguments)
	arguments.TakesPackedLoads, arguments.LoadsAge, arguments.Controllers = true, 123_456_789, HashAddresses(controllerList())
	asked := s.size(c, request, arguments)
	c.Logf("reply: %d bytes before, %d with packed loads, %d without loads, of these %d fixed; request: %d before, %d now",
		before, with, without, bare, askedBefore, asked)
	c.Assert(before > 1150, qt.IsTrue, qt.Commentf("%d", before))
	c.Assert(with < 550, qt.IsTrue, qt.Commentf("%d", with))
	c.Assert(without < 70, qt.IsTrue, qt.Commentf("%d", without))
	c.Assert(asked-askedBefore < 25, qt.IsTrue, qt.Commentf("%d", asked-askedBefore))
}
