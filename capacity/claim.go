package capacity

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/zone"
)

// answerTokens is the mean length of an answer at the size designed for:
// 15 million tokens over 63,000 requests. answerBytes is what a claim keeps of it.
const (
	answerTokens = 15_000_000 / 63_000
	tokenBytes   = 9
	answerBytes  = answerTokens * tokenBytes
)

// claimStages are the log entries of a claim: it is held, names a runner, and ends.
const claimStages = 3

func claimProbes() []probe {
	sizes := []int{256, 512, 1_024, 2_048, 4_096}
	claims := []int{500, 1_000, 2_000, 3_000, 4_000}
	return []probe{
		{RoleZone, "log bytes of a claim's three entries", "byte of answer", unitBytes, methodMsgpack, sizes, func(size int) float64 {
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
		{RoleZone, "kept claims of the mean answer", "claim", unitBytes, methodHeap, claims, func(size int) float64 {
			return heapOf(func() any {
				m := newZone(10, 10, 0)
				m.claim(0, size)
				return m.state
			})
		}},
		{RoleZone, "claims encoded, decoded and applied", "claim", unitMicros, methodCPU, []int{100, 200, 400, 800, 1_600}, claimCPU},
	}
}

// claimCommand is one of the log entries of a claim.
func claimCommand(index, stage, size int) zone.Command {
	key := structs.ClaimKey(fmt.Sprintf("%s:%012d", zoneName(0), index))
	request := structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", index))
	if stage == claimStages-1 {
		text := make([]byte, size)
		for i := range text {
			text[i] = 'a' + byte(i%26)
		}
		answer := must(router.EncodeAnswer(router.Answer{Text: string(text), Tokens: answerTokens, Finish: structs.FinishStop}))
		return zone.Command{ClaimFinish: &zone.ClaimFinishCommand{
			Key: key, Request: request, State: structs.ClaimFinished, Answer: answer, ExpiresAt: probeTime.Add(time.Hour),
		}}
	}
	begin := &zone.ClaimBeginCommand{Key: key, Request: request, Digest: 1<<63 + uint64(index), Holder: "daemon-001", Attempt: uint64(stage)}
	if stage > 0 {
		begin.Runner = runnerName(index % zoneRunners)
		begin.Incarnation = 1
	}
	return zone.Command{ClaimBegin: begin}
}

func (m *zoneMachine) claim(from, to int) {
	for index := from; index < to; index++ {
		for stage := range claimStages {
			m.apply(claimCommand(index, stage, answerBytes))
		}
	}
}

// claimCPU makes as many claims as given and lets them expire.
func claimCPU(claims int) float64 {
	m := newZone(10, 10, 0)
	return cpuOf(func() {
		m.claim(0, claims)
		m.apply(zone.Command{ClaimExpire: &zone.ClaimExpireCommand{Now: probeTime.Add(24 * time.Hour)}})
	})
}
