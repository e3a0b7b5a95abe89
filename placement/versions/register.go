package versions

import "time"

// Record says which software version began a stream.
type Record struct {
	// ID is that of the client's attempt that brought the first event.
	ID      string
	Service string
	Version string
	// TTL is for how much longer the stream may be taken up.
	TTL time.Duration
}

// Register holds records of all routers until they expire, at most a fixed number: the oldest go first. Create one with
// NewRegister.
type Register struct {
	most    int
	records map[string]registered
	// order holds the IDs in the order in which they were put.
	order []putOrder
	last  uint64
}

type registered struct {
	record    Record
	expiresAt time.Time
	number    uint64
}

type putOrder struct {
	id     string
	number uint64
}

// NewRegister returns an empty Register that holds at most the given number of records.
func NewRegister(most int) *Register {
	return &Register{most: most, records: make(map[string]registered)}
}

// Put adds a record, or replaces the one with its ID.
func (r *Register) Put(now time.Time, record Record) {
	if record.ID == "" || record.TTL <= 0 {
		return
	}
	r.last++
	r.records[record.ID] = registered{record: record, expiresAt: now.Add(record.TTL), number: r.last}
	r.order = append(r.order, putOrder{record.ID, r.last})
	r.expire(now)
}

// Find returns the record with an ID, with the TTL that is left.
func (r *Register) Find(now time.Time, id string) (Record, bool) {
	known, isKnown := r.records[id]
	if !isKnown || !now.Before(known.expiresAt) {
		return Record{}, false
	}
	known.record.TTL = known.expiresAt.Sub(now)
	return known.record, true
}

// Len returns the number of records, which may include expired ones.
func (r *Register) Len() int { return len(r.records) }

// expire drops the oldest records: those that have expired or were replaced, and those beyond the limit.
func (r *Register) expire(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		known, isKnown := r.records[oldest.id]
		isCurrent := isKnown && known.number == oldest.number
		if isCurrent && now.Before(known.expiresAt) && len(r.records) <= r.most {
			return
		}
		if isCurrent {
			delete(r.records, oldest.id)
		}
		r.order = r.order[1:]
	}
}
