package answerstore

import (
	"container/list"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Memory is a Store that ends with its process.
type Memory struct {
	limit int64

	mutex sync.Mutex
	byKey map[structs.ClaimKey]*list.Element
	// order holds the answers, the one kept first at its front.
	order *list.List
	bytes int64
}

var _ Store = (*Memory)(nil)

// NewMemory makes an empty store of at most limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, byKey: map[structs.ClaimKey]*list.Element{}, order: list.New()}
}

// Put implements Store.
func (m *Memory) Put(answer Answer, now time.Time) error {
	if answer.size() > m.limit {
		return tooLarge()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if earlier, isKept := m.byKey[answer.Key]; isKept {
		m.remove(earlier)
	}
	m.byKey[answer.Key] = m.order.PushBack(answer)
	m.bytes += answer.size()
	for first := m.order.Front(); m.bytes > m.limit; first = m.order.Front() {
		m.remove(first)
	}
	m.expire(now, expiredAtOnce)
	return nil
}

// Get implements Store.
func (m *Memory) Get(key structs.ClaimKey, now time.Time) (Answer, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept, isKept := m.byKey[key]
	if !isKept {
		return Answer{}, false
	}
	answer := kept.Value.(Answer)
	return answer, answer.ExpiresAt.After(now)
}

// Expire implements Store.
func (m *Memory) Expire(now time.Time) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now, m.order.Len())
	return nil
}

// expire removes expired answers from the front of the order, at most so many.
func (m *Memory) expire(now time.Time, most int) {
	for range most {
		first := m.order.Front()
		if first == nil || first.Value.(Answer).ExpiresAt.After(now) {
			return
		}
		m.remove(first)
	}
}

func (m *Memory) remove(kept *list.Element) {
	answer := m.order.Remove(kept).(Answer)
	delete(m.byKey, answer.Key)
	m.bytes -= answer.size()
}

// Recorded implements Store. Nothing of this store outlasts the process that records
// the ends, so no note is needed.
func (m *Memory) Recorded(structs.ClaimKey, structs.RequestID) {}

// Unrecorded implements Store.
func (m *Memory) Unrecorded() ([]structs.ClaimKey, error) { return nil, nil }

// Usage implements Store.
func (m *Memory) Usage() Usage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Usage{Answers: m.order.Len(), Bytes: m.bytes}
}

// Close implements Store.
func (m *Memory) Close() error { return nil }
