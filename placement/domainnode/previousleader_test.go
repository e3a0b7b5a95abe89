package domainnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

// previousService is a controller of the release without relays.
type previousService struct{}

// Describe returns nothing.
func (previousService) Describe(_ *domainapi.DescribeArguments, _ *domainapi.DescribeReply) error {
	return nil
}

// A leader of the previous release answers a relay's question with an error of the kind after which
// the relay waits for longer; it must not break the connection, which other calls use.
func TestPreviousLeaderRejectsMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		options := transport.Options{Address: address(0), Network: networktest.NewMemory(0), CallTimeout: time.Second}
		server, err := transport.NewServer(log.NewNopLogger(), options)
		c.Assert(err, qt.IsNil)
		c.Assert(server.Register(domainapi.ServiceName, previousService{}), qt.IsNil)
		go server.Serve()
		defer server.Close()
		client := transport.NewClient(log.NewNopLogger(), options)
		defer client.Close()
		err = client.Call(context.Background(), address(0), domainapi.MethodMirror, domainapi.MirrorArguments{Relay: "r"}, newMirrorReply())
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInternal)
		err = client.Call(context.Background(), address(0), domainapi.MethodDescribe, domainapi.DescribeArguments{}, &domainapi.DescribeReply{})
		c.Assert(err, qt.IsNil)
		c.Assert(client.Stats().Connections, qt.Equals, uint64(1))
	})
}
