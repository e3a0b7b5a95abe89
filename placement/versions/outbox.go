package versions

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"
)

const (
	// replicas is the number of registrars that hold each record of a router.
	replicas = 2
	// failurePause is how long another registrar is used in place of one that failed.
	failurePause = 5 * time.Second
	// maxBatch bounds the records of one message.
	maxBatch = 512
	// maxOwn bounds the records of a router; the oldest go first.
	maxOwn = 50_000
)

// Outbox holds the records of the streams that a router began, and how much of them its registrars have. Create one with
// NewOutbox.
type Outbox struct {
	router string
	own    *Register
	// numbered are the own records in the order of their numbers, which rise by one, beginning with first.
	numbered []numbered
	first    uint64
	// registrars are by address; used are those that get the records.
	registrars map[string]*registrar
}

type numbered struct {
	record    Record
	expiresAt time.Time
}

// registrar is what a router knows of a controller as a holder of its records.
type registrar struct {
	// epoch identifies the incarnation of its register; 0 if it has not answered yet.
	epoch uint64
	// sent is the number of the first record that it has not acknowledged.
	sent     uint64
	failedAt time.Time
}

// Batch is what is to be sent to a registrar.
type Batch struct {
	Address string
	Records []Record
	// next is the number of the record that follows the last one.
	next uint64
}

// NewOutbox returns the empty Outbox of a router.
func NewOutbox(router string) *Outbox {
	return &Outbox{router: router, own: NewRegister(maxOwn), registrars: make(map[string]*registrar)}
}

// Add adds a record, unless it is there already.
func (o *Outbox) Add(now time.Time, record Record) {
	if _, isKnown := o.own.Find(now, record.ID); isKnown || record.ID == "" || record.Version == "" || record.TTL <= 0 {
		return
	}
	o.own.Put(now, record)
	for len(o.numbered) > 0 && (len(o.numbered) >= maxOwn || !now.Before(o.numbered[0].expiresAt)) {
		o.numbered = o.numbered[1:]
		o.first++
	}
	o.numbered = append(o.numbered, numbered{record: record, expiresAt: now.Add(record.TTL)})
}

// Find returns an own record.
func (o *Outbox) Find(now time.Time, id string) (Record, bool) { return o.own.Find(now, id) }

// Len returns the number of own records.
func (o *Outbox) Len() int { return o.own.Len() }

// Due returns the batches to send, given the addresses of all controllers. Registrars that are new, or have started anew,
// get all records.
func (o *Outbox) Due(now time.Time, controllers []string) (batches []Batch) {
	for address := range o.registrars {
		if !slices.Contains(controllers, address) {
			delete(o.registrars, address)
		}
	}
	for _, address := range o.choose(now, controllers) {
		known := o.registrars[address]
		if known == nil {
			known = &registrar{}
			o.registrars[address] = known
		}
		if batch := o.batch(now, address, known); len(batch.Records) > 0 {
			batches = append(batches, batch)
		}
	}
	return batches
}

// batch returns the records that a registrar lacks.
func (o *Outbox) batch(now time.Time, address string, known *registrar) Batch {
	batch := Batch{Address: address, next: max(known.sent, o.first)}
	for batch.next < o.first+uint64(len(o.numbered)) && len(batch.Records) < maxBatch {
		next := o.numbered[batch.next-o.first]
		batch.next++
		if left := next.expiresAt.Sub(now); left > 0 {
			next.record.TTL = left
			batch.Records = append(batch.Records, next.record)
		}
	}
	return batch
}

// choose returns the controllers that hold the router's records: the first by a rank that differs from router to router,
// without those that failed lately. If all did, it returns the one whose failure is the longest ago.
func (o *Outbox) choose(now time.Time, controllers []string) []string {
	ranked := slices.Clone(controllers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(o.rank(b), o.rank(a)), cmp.Compare(a, b))
	})
	working := slices.DeleteFunc(slices.Clone(ranked), func(address string) bool {
		failedAt := o.failedAt(address)
		return !failedAt.IsZero() && now.Sub(failedAt) < failurePause
	})
	if len(working) == 0 && len(ranked) > 0 {
		working = []string{slices.MinFunc(ranked, func(a, b string) int { return o.failedAt(a).Compare(o.failedAt(b)) })}
	}
	return working[:min(len(working), replicas)]
}

// failedAt returns when a registrar failed last; zero if it has answered since.
func (o *Outbox) failedAt(address string) time.Time {
	if known := o.registrars[address]; known != nil {
		return known.failedAt
	}
	return time.Time{}
}

func (o *Outbox) rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, o.router+"\x00"+address)
	return hash.Sum64()
}

// Acknowledge records that a registrar of the given epoch has a batch. If it has started anew, it gets all records again.
func (o *Outbox) Acknowledge(batch Batch, epoch uint64) {
	known := o.registrars[batch.Address]
	if known == nil {
		return
	}
	known.failedAt = time.Time{}
	isNew := known.epoch != 0 && known.epoch != epoch
	known.epoch = epoch
	if isNew {
		known.sent = 0
		return
	}
	known.sent = max(known.sent, batch.next)
}

// Failed records that a batch was not acknowledged.
func (o *Outbox) Failed(now time.Time, batch Batch) {
	if known := o.registrars[batch.Address]; known != nil {
		known.failedAt = now
	}
}
