package overload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// capacityDuration is the virtual time over which capacity is measured.
const capacityDuration = 30 * time.Second

// measureCapacity returns the throughput of the engines in answers per second, with
// full batches and no cache-aware routing. Scenario loads are multiples of it.
func measureCapacity(seed uint64) float64 {
	measured := newSimulation(seed, PolicyRandom, scenario{})
	random := rand.New(rand.NewPCG(seed, arrivalSeed+1))
	source := stream{caller: drawEach, row: drawEach, priority: drawEach}
	answers := 0
	var next uint64
	for _, host := range measured.engines {
		now := epochStart.Add(warmUp)
		host.engine.Advance(now)
		pending := maxBatch
		for now.Before(epochStart.Add(warmUp + capacityDuration)) {
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
	return float64(answers) / capacityDuration.Seconds()
}
