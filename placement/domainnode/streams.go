package domainnode

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// maxStreamRecords bounds the records of streams that a controller holds, of some 200 bytes each.
const maxStreamRecords = 100_000

// streamRegister holds the records of streams of all routers that chose this controller. It is independent of the group.
type streamRegister struct {
	mutex   sync.Mutex
	epoch   uint64
	records *versions.Register
}

// registerSeed separates the random numbers of the register from others of the process.
const registerSeed = 11

// newStreamRegister returns the register of a process with the given seed, which differs from that of its predecessor.
func newStreamRegister(seed uint64) *streamRegister {
	random := rand.New(rand.NewPCG(seed, registerSeed))
	return &streamRegister{epoch: random.Uint64(), records: versions.NewRegister(maxStreamRecords)}
}

// NoteStreams records which software versions began the streams of a router.
func (s *service) NoteStreams(arguments *domainapi.NoteStreamsArguments, reply *domainapi.NoteStreamsReply) error {
	now, register := s.node.now(), s.node.streams
	register.mutex.Lock()
	defer register.mutex.Unlock()
	for _, record := range arguments.Records {
		register.records.Put(now, record)
	}
	reply.Epoch = register.epoch
	s.node.metrics.streamRecords.Set(float64(register.records.Len()))
	s.node.metrics.streamNotes.Add(float64(len(arguments.Records)))
	return nil
}

// FindStream looks a stream up. The leader also tells which version alone can have begun it, as others are still held back.
func (s *service) FindStream(arguments *domainapi.FindStreamArguments, reply *domainapi.FindStreamReply) error {
	reply.Record, reply.IsFound = s.node.streams.find(s.node.now(), arguments.ID)
	if reply.IsFound {
		return nil
	}
	if _, current, err := s.leader(); err == nil {
		reply.Only = current.usedVersion(arguments.Service)
	}
	return nil
}

func (r *streamRegister) find(now time.Time, id string) (record versions.Record, isFound bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.records.Find(now, id)
}
