package emulator

import (
	"github.com/lotusferry/lotusferry/structs"
)

// occurs reports whether a random event with the given probability occurs.
func (e *Engine) occurs(rate float64) bool {
	return rate > 0 && e.options.Random.Float64() < rate
}

// deliver emits a token subject to the injected faults. It returns false if a fault
// ended the sequence.
func (e *Engine) deliver(current *sequence, token structs.Token) bool {
	output := EngineOutput{Kind: OutputToken, Call: current.call, Token: token}
	if token.Finish != "" {
		output.Load = e.currentLoad()
	}
	if e.faults == (EngineFaults{}) {
		e.emit(output)
		return true
	}
	if e.occurs(e.faults.ResetRate) {
		e.emit(EngineOutput{Kind: OutputReset, Call: current.call})
		e.stop(current, false)
		return false
	}
	switch {
	case e.occurs(e.faults.LossRate):
	case e.occurs(e.faults.LateRate):
		e.after(e.faults.LateBy, func() { e.emit(output) })
	default:
		e.emit(output)
	}
	if e.occurs(e.faults.RepeatRate) {
		e.emit(output)
	}
	if e.occurs(e.faults.CrossRate) {
		e.cross(current, token)
	}
	return e.countDown()
}

// cross also emits the token on the stream of another running request.
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

// countDown crashes the engine once DieAfterTokens tokens were generated. It returns
// false if the engine crashed.
func (e *Engine) countDown() bool {
	if e.faults.DieAfterTokens == 0 {
		return true
	}
	e.faults.DieAfterTokens--
	if e.faults.DieAfterTokens > 0 {
		return true
	}
	e.crash()
	return false
}
