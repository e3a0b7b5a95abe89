package config

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/internal/keys"
)

func (k *checker) intRange(key string, value, low, high int) {
	if value < low || value > high {
		k.add(key, value, "is out of range", fmt.Sprintf("Write a number from %d to %d.", low, high))
	}
}

func (k *checker) durationRange(key string, value, low, high time.Duration) {
	if value < low || value > high {
		k.add(key, value, "is out of range", fmt.Sprintf("Write a duration from %s to %s.", low, high))
	}
}

func (k *checker) byteRange(key string, value, low, high int64) {
	if value < low || value > high {
		k.add(key, value, "is out of range", fmt.Sprintf("Write a number of bytes from %d to %d.", low, high))
	}
}

// minimumElectionHeartbeats is the shortest election timeout in heartbeat intervals.
const minimumElectionHeartbeats = 3

func (k *checker) timing() {
	timing := k.config.Timing
	k.durationRange("timing.tick_interval", timing.TickInterval, time.Millisecond, time.Second)
	k.intRange("timing.heartbeat_ticks", timing.HeartbeatTicks, 1, 100)
	k.intRange("timing.election_ticks", timing.ElectionTicks, 3, 1000)
	if timing.ElectionTicks < minimumElectionHeartbeats*timing.HeartbeatTicks {
		k.add("timing.election_ticks", timing.ElectionTicks, "is too close to heartbeat_ticks, so a late heartbeat would start an election",
			fmt.Sprintf("Write at least %d times heartbeat_ticks.", minimumElectionHeartbeats))
	}
	k.durationRange("timing.report_interval", timing.ReportInterval, 10*time.Millisecond, 10*time.Second)
	// Routers must stop using a departing runner within 3 s, which takes up to two reads.
	k.durationRange("timing.machine_list_interval", timing.MachineListInterval, 10*time.Millisecond, 1500*time.Millisecond)
	k.durationRange("timing.plan_interval", timing.PlanInterval, 10*time.Millisecond, 10*time.Second)
	k.durationRange("timing.stop_timeout", timing.StopTimeout, time.Second, time.Hour)
}

// maximumTokensPerMinute exceeds the throughput of a whole site.
const maximumTokensPerMinute = 1_000_000_000

func (k *checker) limits() {
	limits := k.config.Limits
	k.intRange("limits.queue_per_row", limits.QueuePerRow, 1, 1_000_000)
	k.intRange("limits.caller_tokens_per_minute", limits.CallerTokensPerMinute, 0, maximumTokensPerMinute)
	k.intRange("limits.row_tokens_per_minute", limits.RowTokensPerMinute, 0, maximumTokensPerMinute)
	k.byteRange("limits.body_bytes", limits.BodyBytes, 1<<10, 1<<30)
	k.byteRange("limits.operator_body_bytes", limits.OperatorBodyBytes, 1<<10, 1<<30)
	k.durationRange("limits.default_deadline", limits.DefaultDeadline, 100*time.Millisecond, 24*time.Hour)
	k.durationRange("limits.maximum_deadline", limits.MaximumDeadline, 100*time.Millisecond, 24*time.Hour)
	if limits.DefaultDeadline > limits.MaximumDeadline {
		k.add("limits.default_deadline", limits.DefaultDeadline, "is longer than limits.maximum_deadline",
			"Shorten it, or raise limits.maximum_deadline.")
	}
	k.durationRange("limits.claim_retention", limits.ClaimRetention, time.Minute, 30*24*time.Hour)
	k.byteRange("limits.answer_bytes", limits.AnswerBytes, 1<<20, 1<<40)
	if limits.ClaimRetention < limits.MaximumDeadline {
		k.add("limits.claim_retention", limits.ClaimRetention, "is shorter than limits.maximum_deadline, so a retry could run twice",
			"Raise it to at least limits.maximum_deadline.")
	}
}

func (k *checker) log() {
	k.oneOf("log.level", k.config.Log.Level, "debug", "info", "warn", "error")
	k.oneOf("log.format", k.config.Log.Format, "logfmt", "json")
}

func (k *checker) oneOf(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	k.add(key, value, "is not a known value", fmt.Sprintf("Write one of %v.", allowed))
}

// keys checks the operators' and callers' API keys.
func (k *checker) keys() {
	c := k.config
	if !c.Development && len(c.Operators) == 0 {
		k.add("operators", "", "is empty, so nobody could edit the table",
			"Add the line that `lotusferryctl keys operator NAME` prints.")
	}
	if !c.Development && c.HasRole(RoleRouter) && len(c.Callers) == 0 {
		k.add("callers", "", "is empty, so every request would be denied",
			"Add the line that `lotusferryctl keys caller NAME` prints.")
	}
	operators := newKeySet()
	for index, operator := range c.Operators {
		k.apiKey(fmt.Sprintf("operators[%d]", index), operator.Name, operator.Hash, operators)
	}
	callers := newKeySet()
	for index, caller := range c.Callers {
		key := fmt.Sprintf("callers[%d]", index)
		k.apiKey(key, caller.Name, caller.Hash, callers)
		k.oneOf(key+".priority", caller.Priority, "", "batch", "standard", "live")
	}
}

// keySet holds the names and hashes of the keys checked so far.
type keySet struct{ names, hashes map[string]bool }

func newKeySet() keySet {
	return keySet{names: map[string]bool{}, hashes: map[string]bool{}}
}

func (k *checker) apiKey(key, name, hash string, seen keySet) {
	k.identifier(key+".name", name)
	if seen.names[name] {
		k.add(key+".name", name, "is listed twice", "Give each key its own name.")
	}
	seen.names[name] = true
	if _, err := keys.ParseHash(hash); err != nil {
		k.add(key+".hash", hash, "is not the hash of a key",
			"Copy the hash that `lotusferryctl keys` prints; it begins with "+keys.HashPrefix+".")
		return
	}
	if seen.hashes[hash] {
		k.add(key+".hash", hash, "is listed twice", "Create a separate key for each name.")
	}
	seen.hashes[hash] = true
}
