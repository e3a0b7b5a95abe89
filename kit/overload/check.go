package overload

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// terminalBound is the tolerance for a terminal answer after the deadline.
const terminalBound = 250 * time.Millisecond

// The rules that the checker verifies.
const (
	ruleTerminal   = "one terminal answer"
	ruleDeadline   = "terminal answer by the deadline"
	ruleWhole      = "whole answer"
	ruleNotRun     = "not_run was not sent"
	ruleRetryAfter = "refusal says when to come back"
)

// Violation is a rule violated by a request.
type Violation struct {
	Seed     uint64 `json:"seed"`
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Rule     string `json:"rule"`
	Request  string `json:"request"`
	Detail   string `json:"detail"`
}

func (s *simulation) addViolation(rule string, target *call, detail string) {
	s.violations = append(s.violations, Violation{
		Seed: s.seed, Policy: s.policy, Scenario: s.scenario.name, Rule: rule,
		Request: string(target.request.ID), Detail: detail,
	})
}

// check verifies every call against the caller's observations and the engines'
// execution records.
func (s *simulation) check() {
	executed := map[structs.RequestID]bool{}
	for _, engine := range s.engines {
		for _, execution := range engine.engine.Records().Executions {
			executed[attemptRequest(execution.ID)] = true
		}
	}
	for _, target := range s.calls {
		s.checkCall(target, executed[target.request.ID])
	}
}

func (s *simulation) checkCall(target *call, executed bool) {
	if target.terminals != 1 {
		s.addViolation(ruleTerminal, target, fmt.Sprintf("%d terminal answers", target.terminals))
		return
	}
	if late := target.endedAt - target.arrivedAt - target.timeout; late > terminalBound {
		s.addViolation(ruleDeadline, target, fmt.Sprintf("%v after the deadline", late))
	}
	if target.refusal == nil {
		want := emulator.ExpectedLength(target.request.Row, target.request.Prompt, target.request.MaxTokens)
		if target.tokens < want {
			s.addViolation(ruleWhole, target, fmt.Sprintf("%d of %d tokens", target.tokens, want))
		}
		return
	}
	if target.refusal.Error.RetryAfter <= 0 {
		s.addViolation(ruleRetryAfter, target, target.refusal.Error.Message)
	}
	if target.refusal.Execution == structs.ExecutionNotRun && executed {
		s.addViolation(ruleNotRun, target, target.refusal.Error.Message)
	}
}

// attemptRequest returns the request ID of the attempt with the given ID.
func attemptRequest(id structs.RequestID) structs.RequestID {
	return router.AttemptID(id).Request()
}
