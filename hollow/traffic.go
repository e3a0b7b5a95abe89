package hollow

import (
	"encoding/gob"
	"encoding/json"
	"net/rpc"
	"reflect"
)

// traffic tells what bytes are for.
type traffic int

// The kinds of control traffic.
const (
	trafficRaft traffic = iota
	trafficDelta
	trafficView
	trafficDemand
	trafficClaim
	trafficGrant
	trafficEdit
	trafficReport
	trafficOrder
	trafficMachines
	trafficKinds
)

var trafficNames = [trafficKinds]string{
	"raft", "table_delta", "view", "demand", "claim", "grant_and_in_force", "edit", "engine_report", "order", "machine_list",
}

// meter counts the bytes of one daemon by kind.
type meter struct {
	sent     [trafficKinds]int64
	received [trafficKinds]int64
}

// countedWriter counts what is written to it.
type countedWriter struct{ bytes int }

// Write implements io.Writer.
func (w *countedWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// sizer tells how many bytes messages take on a connection that has carried their
// types before.
type sizer struct {
	writer  countedWriter
	encoder *gob.Encoder
	known   map[reflect.Type]bool
}

func newSizer() *sizer {
	s := &sizer{known: map[reflect.Type]bool{}}
	s.encoder = gob.NewEncoder(&s.writer)
	return s
}

// gob returns the encoded length of a value; a value that cannot be encoded is a
// fault of this package.
func (s *sizer) gob(value any) int {
	kind := reflect.TypeOf(value)
	if !s.known[kind] {
		s.known[kind] = true
		s.encode(reflect.New(kind).Elem().Interface())
	}
	return s.encode(value)
}

func (s *sizer) encode(value any) int {
	s.writer.bytes = 0
	if err := s.encoder.Encode(value); err != nil {
		panic(err)
	}
	return s.writer.bytes
}

// callSequence stands for the number of a call on a long connection.
const callSequence = 1 << 20

// call returns the bytes of a net/rpc request.
func (s *sizer) call(method string, arguments any) int {
	return s.gob(rpc.Request{ServiceMethod: method, Seq: callSequence}) + s.gob(arguments)
}

// reply returns the bytes of a net/rpc response.
func (s *sizer) reply(method string, reply any) int {
	return s.gob(rpc.Response{ServiceMethod: method, Seq: callSequence}) + s.gob(reply)
}

// jsonBytes returns the length of a JSON body.
func jsonBytes(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
