package capacity

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// answerTokens is the mean answer length at the design size: 15 million tokens over
// 63,000 requests. answerBytes is the size of its text.
const (
	answerTokens = 15_000_000 / 63_000
	tokenBytes   = 9
	answerBytes  = answerTokens * tokenBytes
)

// claimStages is the number of log entries of a claim: begin, with its runner, and
// finish. A claim made without a free replica has one more.
const claimStages = 2

func claimProbes() []probe {
	sizes := []int{256, 512, 1_024, 2_048, 4_096}
	claims := []int{20_000, 40_000, 60_000, 80_000, 100_000}
	keys := []int{20_000, 40_000, 80_000, 120_000, 160_000}
	return []probe{
		{RoleZone, "log bytes of a claim's two operations", "byte of answer", unitBytes, methodMsgpack, sizes, func(size int) float64 {
			bytes := 0
			for stage := range claimStages {
				bytes += len(must(zone.EncodeCommand(claimCommand(0, stage, size))))
			}
			return float64(bytes)
		}},
		{RoleZone, "log bytes of claims without their answers", "claim", unitBytes, methodMsgpack, []int{1, 2, 4, 8, 16}, func(size int) float64 {
			bytes := 0
			for index := range size {
				for stage := range claimStages {
					bytes += len(must(zone.EncodeCommand(claimCommand(index, stage, 0))))
				}
			}
			return float64(bytes)
		}},
		{RoleZone, "finished claims kept whole", "claim", unitBytes, methodHeap, claims, func(size int) float64 {
			return retainedHeap(func() any {
				m := newZone(10, 10, 0)
				m.claim(0, size)
				return m.state
			})
		}},
		{RoleZone, "claims encoded, decoded and applied", "claim", unitMicros, methodCPU, []int{100, 200, 400, 800, 1_600}, claimCPU},
		{RoleZone, "claims shortened to their keys", "claim", unitBytes, methodHeap, keys, func(size int) float64 {
			whole := retainedHeap(func() any { return restoreSnapshot(newZoneWithClaims(0)) })
			return retainedHeap(func() any { return restoreSnapshot(newZoneWithClaims(size)) }) - whole
		}},
	}
}

// claimCommand returns the log entry of a claim at the given stage, with an answer of
// size bytes in the last one.
func claimCommand(index, stage, size int) zone.Command {
	key := structs.ClaimKey(fmt.Sprintf("%s:%012d", zoneName(0), index))
	request := structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", index))
	if stage == claimStages-1 {
		text := make([]byte, size)
		for i := range text {
			text[i] = 'a' + byte(i%26)
		}
		answer := router.MarkAnswer(must(router.EncodeAnswer(router.Answer{Text: string(text), Tokens: answerTokens, Finish: structs.FinishStop})))
		return zone.Command{ClaimFinish: &zone.ClaimFinishCommand{
			Key: key, Request: request, State: structs.ClaimFinished, ExpiresAt: probeTime.Add(time.Hour),
			AnswerBytes: answer.Bytes, AnswerHash: answer.Hash,
		}}
	}
	begin := &zone.ClaimBeginCommand{Key: key, Request: request, Digest: 1<<63 + uint64(index), Holder: "daemon-001", Attempt: 1}
	begin.HolderAddress = "127.0.0.1:7402"
	begin.Runner = runnerName(index % zoneRunners)
	begin.Incarnation = 1
	return zone.Command{ClaimBegin: begin}
}

func (m *zoneMachine) claim(from, to int) {
	for index := from; index < to; index++ {
		for stage := range claimStages {
			m.apply(claimCommand(index, stage, answerBytes))
		}
	}
}

// newZoneWithClaims returns a zone that retains zone.MaxClaims complete claims, and the
// keys alone of more older ones.
func newZoneWithClaims(more int) *zoneMachine {
	m := newZone(10, 10, 0)
	m.claim(0, zone.MaxClaims+more)
	return m
}

// restoreSnapshot returns the state restored from a snapshot of m. Its maps have no
// spare capacity from earlier growth.
func restoreSnapshot(m *zoneMachine) *zone.State {
	state := zone.New(m.state.Zone())
	if err := state.Restore(must(m.state.Snapshot())); err != nil {
		panic(err)
	}
	return state
}

// claimCPU returns the processor time to apply the given number of claims and to
// expire them.
func claimCPU(claims int) float64 {
	m := newZone(10, 10, 0)
	return cpuTime(func() {
		m.claim(0, claims)
		m.apply(zone.Command{ClaimExpire: &zone.ClaimExpireCommand{Now: probeTime.Add(24 * time.Hour)}})
	})
}
