package overload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// capacityTime is how long the engines are measured.
const capacityTime = 30 * time.Second

// capacityOf measures how many answers a second the engines give when each always
// has a full batch and requests are spread without regard to caches. It is the 1x
// of the scenarios.
func capacityOf(seed uint64) float64 {
	measured := newSite(seed, PolicyRandom, scenario{})
	random := rand.New(rand.NewPCG(seed, arrivalsSource+1))
	source := stream{caller: anyOne, row: anyOne, priority: anyOne}
	answers := 0
	var next uint64
	for _, host := range measured.engines {
		now := epochStart.Add(warmUp)
		host.engine.Advance(now)
		pending := maxBatch
		for now.Before(epochStart.Add(warmUp + capacityTime)) {
			for ; pending > 0; pending-- {
				next++
				asked := source.newCall(0, random).request
				host.engine.Step(now, emulator.EngineInput{Kind: emulator.InputGenerate, Call: emulator.CallID(next), Generate: structs.GenerateRequest{
					ID: structs.RequestID(strconv.FormatUint(next, 10)), Row: asked.Row, Prompt: asked.Prompt, MaxTokens: asked.MaxTokens,
				}})
			}
			now, _ = host.engine.NextEvent()
			for _, output := range host.engine.Advance(now) {
				if output.Kind == emulator.OutputToken && output.Token.Finish != "" {
					answers++
					pending++
				}
			}
		}
	}
	return float64(answers) / capacityTime.Seconds()
}
