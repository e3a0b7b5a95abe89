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
