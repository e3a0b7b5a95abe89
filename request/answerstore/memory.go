package answerstore

import (
	"container/list"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Memory is an in-memory Store.
type Memory struct {
	limit int64

	mutex sync.Mutex
	byKey map[structs.ClaimKey]*list.Element
	// order holds the answers in insertion order.
	order *list.List
	bytes int64
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store with a limit in bytes.
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
	if previous, isKept := m.byKey[answer.Key]; isKept {
		m.remove(previous)
	}
	m.byKey[answer.Key] = m.order.PushBack(answer)
	m.bytes += answer.size()
	for first := m.order.Front(); m.bytes > m.limit; first = m.order.Front() {
		m.remove(first)
	}
	m.expire(now, expiredPerPut)
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

// expire removes at most limit expired answers in insertion order.
func (m *Memory) expire(now time.Time, limit int) {
	for range limit {
		first := m.order.Front()
		if first == nil || first.Value.(Answer).ExpiresAt.After(now) {
			return
		}
		m.remove(first)
	}
}

func (m *Memory) remove(element *list.Element) {
	answer := m.order.Remove(element).(Answer)
	delete(m.byKey, answer.Key)
	m.bytes -= answer.size()
}

// Recorded implements Store. It does nothing, because the store does not outlive the
// process that records the ends.
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
