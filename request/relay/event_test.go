package relay

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEventsAreSplitAtBlankLines(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
		rest string
	}{
		"events":                                {"id: 1\ndata: a\n\nid: 2\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\n\n"}, ""},
		"with carriage returns":                 {"id: 1\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, ""},
		"of both kinds":                         {"a\r\n\r\nb\n\nc\r\n\r\n", []string{"a\r\n\r\n", "b\n\n", "c\r\n\r\n"}, ""},
		"blank lines alone":                     {"\n\n\n\n", []string{"\n\n", "\n\n"}, ""},
		"an incomplete one":                     {"a\n\nb\n", []string{"a\n\n"}, "b\n"},
		"lines that end an event only together": {"\n\r\nb\r\n\n", []string{"\n\r\nb\r\n\n"}, ""},
	} {
		for _, size := range []int{1, 2, 3, 5, len(test.text)} {
			t.Run(fmt.Sprintf("%s, %d at a time", name, size), func(t *testing.T) {
				c := qt.New(t)
				var splitter eventSplitter
				var found []string
				for rest := []byte(test.text); len(rest) > 0; {
					count := min(size, len(rest))
					splitter.add(rest[:count])
					rest = rest[count:]
					for event := splitter.next(); event != nil; event = splitter.next() {
						found = append(found, string(event))
					}
				}
				c.Assert(found, qt.DeepEquals, test.want)
				c.Assert(splitter.isEmpty(), qt.Equals, strings.TrimSpace(test.rest) == "")
			})
		}
	}
}

// BenchmarkEvents splits a stream of events of usual size, as reads of several sizes bring it.
func BenchmarkEvents(b *testing.B) {
	event := "id: 1042\ndata: " + strings.Repeat("x", 180) + "\n\n"
	for name, perRead := range map[string]int{"one a read": 1, "40 a read": 40} {
		b.Run(name, func(b *testing.B) {
			read := []byte(strings.Repeat(event, perRead))
			var splitter eventSplitter
			b.SetBytes(int64(len(read)))
			b.ReportAllocs()
			for b.Loop() {
				// The events of each read are new.
				splitter.nextID = 0
				splitter.add(read)
				for event := splitter.next(); event != nil; event = splitter.next() {
					if !splitter.hasID {
						b.Fatal("no ID")
					}
				}
			}
		})
	}
}
