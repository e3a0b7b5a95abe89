package domainnode

import (
	"math/rand/v2"
	"sync"

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

// FindStream looks a stream up.
func (s *service) FindStream(arguments *domainapi.FindStreamArguments, reply *domainapi.FindStreamReply) error {
	register := s.node.streams
	register.mutex.Lock()
	defer register.mutex.Unlock()
	reply.Record, reply.IsFound = register.records.Find(s.node.now(), arguments.ID)
	return nil
}
