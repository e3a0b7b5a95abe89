package domainnode

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// BenchmarkNoteStreams measures a message with records of streams from a router to a controller over loopback, with both ends in
// this process, and reports the bytes that it takes.
func BenchmarkNoteStreams(b *testing.B) {
	for _, records := range []int{1, 4, 16, 64, 512} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) { benchmarkNotes(b, records) })
	}
}

func benchmarkNotes(b *testing.B, records int) {
	address := freeAddress(b)
	node := &Node{metrics: newMetrics(Options{}), streams: newStreamRegister(1), options: Options{Now: time.Now}}
	server, err := transport.NewServer(log.NewNopLogger(), transport.Options{Address: address})
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Register(domainapi.ServiceName, &service{node: node}); err != nil {
		b.Fatal(err)
	}
	go server.Serve()
	defer server.Close()
	sent := 0
	client := transport.NewClient(log.NewNopLogger(), transport.Options{
		CallTimeout: time.Second, DialTimeout: time.Second,
		OnMessage: func(_, _ string, out, in int) { sent += out + in },
	})
	defer client.Close()
	number := 0
	for b.Loop() {
		arguments := domainapi.NoteStreamsArguments{Router: "frontend-meknes-a-1"}
		for range records {
			number++
			arguments.Records = append(arguments.Records, versions.Record{ID: fmt.Sprintf("%016x", number), Service: "huvo11a", Version: "v1.1", TTL: 15 * time.Second})
		}
		var reply domainapi.NoteStreamsReply
		if err := client.Call(context.Background(), address, domainapi.MethodNoteStreams, arguments, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "B/message")
}

func freeAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
