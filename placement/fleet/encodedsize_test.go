package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// pacedView returns a view in which a quarter of the runners is about half as fast, with or without
// paces.
func pacedView(runners int, hasPaces bool) View {
	random := rand.New(rand.NewPCG(2, 2))
	view := View{Complete: true}
	for i := range runners {
		runner := Runner{
			Instance: fmt.Sprintf("i-%010x", random.Uint64()>>24), Service: "assistant", Address: fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%4), Slots: 24,
			Models: []LoadedModel{{Name: fmt.Sprintf("m%06x", random.IntN(1<<24))}, {Name: fmt.Sprintf("m%06x", random.IntN(1<<24))}},
		}
		if hasPaces {
			slowness := 1 + 0.02*float64(random.IntN(7))
			if i%4 == 0 {
				slowness = 2 + 0.02*float64(random.IntN(10))
			}
			runner.Pace = pace.Runner{
				PromptRate: float64(int(38400 / slowness)), Slowness: slowness,
				Event: time.Duration(21e6 * slowness).Round(100 * time.Microsecond),
			}
		}
		view.Runners = append(view.Runners, runner)
	}
	return view
}

// Guards against paces adding more than 25 bytes per runner to an encoded full view.
func TestPacesAddFewBytesToView(t *testing.T) {
	c := qt.New(t)
	const runners = 300
	without, err := pacedView(runners, false).Encode()
	c.Assert(err, qt.IsNil)
	with, err := pacedView(runners, true).Encode()
	c.Assert(err, qt.IsNil)
	added := float64(len(with.Bytes)-len(without.Bytes)) / runners
	c.Assert(added < 25, qt.IsTrue, qt.Commentf("%.1f bytes per runner on top of %d", added, len(without.Bytes)/runners))
	t.Logf("%.1f bytes per runner on top of %d", added, len(without.Bytes)/runners)
}

// Guards against software versions that make views larger than they are worth: there are few of them at a time.
func TestVersionsAddFewBytesToView(t *testing.T) {
	c := qt.New(t)
	const runners = 10_000
	view := pacedView(runners, true)
	without, err := view.Encode()
	c.Assert(err, qt.IsNil)
	for i := range view.Runners {
		view.Runners[i].Version = []string{"v1", "v1.1"}[i%3/2]
	}
	with, err := view.Encode()
	c.Assert(err, qt.IsNil)
	added := float64(len(with.Bytes)-len(without.Bytes)) / runners
	c.Assert(added < 2, qt.IsTrue, qt.Commentf("%.2f bytes per runner", added))
	t.Logf("%.2f bytes per runner on top of %d", added, len(without.Bytes)/runners)
}

// Most views list a few changed runners, and each router gets several a second.
func TestFewChangesTakeFewBytes(t *testing.T) {
	for _, test := range []struct{ runners, bytes int }{{1, 320}, {2, 380}, {3, 420}, {6, 600}, {60, 4000}} {
		t.Run(fmt.Sprint(test.runners), func(t *testing.T) {
			c := qt.New(t)
			view := pacedView(test.runners, true)
			view.Partial = true
			encoded, err := view.Encode()
			c.Assert(err, qt.IsNil)
			t.Logf("%d bytes", len(encoded.Bytes))
			c.Assert(len(encoded.Bytes) <= test.bytes, qt.IsTrue, qt.Commentf("%d bytes", len(encoded.Bytes)))
			decoded, err := encoded.Decode()
			c.Assert(err, qt.IsNil)
			c.Assert(decoded, qt.DeepEquals, view)
		})
	}
}

func BenchmarkEncodeFewChanges(b *testing.B) {
	view := pacedView(3, true)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := view.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}
