package emulator

import (
	"github.com/lotusferry/lotusferry/structs"
)

// happens draws whether something of the given rate happens.
func (e *Engine) happens(rate float64) bool {
	return rate > 0 && e.options.Random.Float64() < rate
}

// deliver sends a token through the faults. It returns false when the sequence
// was ended by one of them.
func (e *Engine) deliver(current *sequence, token structs.Token) bool {
	output := EngineOutput{Kind: OutputToken, Call: current.call, Token: token}
	if token.Finish != "" {
		output.Load = e.currentLoad()
	}
	if e.faults == (EngineFaults{}) {
		e.emit(output)
		return true
	}
	if e.happens(e.faults.ResetRate) {
		e.emit(EngineOutput{Kind: OutputReset, Call: current.call})
		e.stop(current, false)
		return false
	}
	switch {
	case e.happens(e.faults.LossRate):
	case e.happens(e.faults.LateRate):
		e.after(e.faults.LateBy, func() { e.emit(output) })
	default:
		e.emit(output)
	}
	if e.happens(e.faults.RepeatRate) {
		e.emit(output)
	}
	if e.happens(e.faults.CrossRate) {
		e.cross(current, token)
	}
	return e.countDown()
}

// cross sends the token on the stream of another running request as well.
func (e *Engine) cross(current *sequence, token structs.Token) {
	others := make([]*sequence, 0, len(e.batch.running))
	for _, other := range e.batch.running {
		if other != current {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return
	}
	other := others[e.options.Random.IntN(len(others))]
	e.emit(EngineOutput{Kind: OutputToken, Call: other.call, Token: token})
}

// countDown lets the engine die once it has emitted its last token. It returns
// false when the engine died.
func (e *Engine) countDown() bool {
	if e.faults.DieAfterTokens == 0 {
		return true
	}
	e.faults.DieAfterTokens--
	if e.faults.DieAfterTokens > 0 {
		return true
	}
	e.die()
	return false
}
