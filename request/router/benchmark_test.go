package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lotusferry/lotusferry/structs"
)

func BenchmarkTokenReceived(b *testing.B) {
	s := newScript(b, nil)
	s.arrive(func(r *structs.Request) { r.MaxTokens = 0 })
	sent := only[SendAttempt](s)
	event := &TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: "word"}}
	b.Run("core", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.core.Step(s.now, event)
			event.Token.Index++
		}
	})
	if int(s.core.Stats().Delivered) != event.Token.Index {
		b.Fatalf("%d tokens sent, %d delivered", event.Token.Index, s.core.Stats().Delivered)
	}
	b.Run("baseline=map-lookup", func(b *testing.B) {
		b.ReportAllocs()
		sink := 0
		for b.Loop() {
			sink += s.core.attempts[event.Attempt].delivered
		}
	})
}

// BenchmarkRequest measures a repeatable request with an answer of one token.
func BenchmarkRequest(b *testing.B) {
	for _, runners := range []int{12, 420, 10000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s := newScript(b, nil)
			view := testView(runners, "row")
			view.Index = 2
			s.do(ViewChanged{View: view})
			request := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 8}
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				request.ID = structs.RequestID(fmt.Sprint(index))
				sent := s.core.Step(s.now, Arrived{Request: request})[0].(SendAttempt)
				token := structs.Token{ID: sent.Generate.ID, Finish: structs.FinishStop}
				s.core.Step(s.now, TokenReceived{Attempt: sent.Attempt, Token: token})
			}
		})
	}
}

// BenchmarkTableMemory measures the memory of a router per row of the table.
func BenchmarkTableMemory(b *testing.B) {
	const rows = 58_250
	names := make([]structs.RowName, rows)
	for index := range names {
		names[index] = structs.RowName(fmt.Sprintf("row-%d", index))
	}
	view := testView(0, names...)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newScript(b, nil)
		s.do(ViewChanged{View: view})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/rows, "B/row")
		runtime.KeepAlive(s)
	}
}
