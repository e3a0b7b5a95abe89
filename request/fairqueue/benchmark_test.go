package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide admits and requeues one of 1,000 waiting requests of 16 tenants and 2 ranks.
func BenchmarkDecide(b *testing.B) {
	for _, rows := range []int{1, 10, 50} {
		b.Run(fmt.Sprint(rows, " rows"), func(b *testing.B) {
			q := New[string]()
			listed := make([]*Row[string], rows)
			for i := range listed {
				listed[i] = &Row[string]{}
			}
			for i := range 1000 {
				q.Push(start, listed[i%rows], entryOf(fmt.Sprint(i%16), i%2, start, time.Duration(i)*time.Millisecond, 700))
			}
			var served *Entry[string]
			var from *Row[string]
			admit := func(entry *Entry[string]) bool {
				if served != nil {
					return false
				}
				served, from = entry, entry.row
				return true
			}
			b.ReportAllocs()
			for b.Loop() {
				served = nil
				q.Serve(start, admit)
				q.Push(start, from, served)
			}
		})
	}
}
