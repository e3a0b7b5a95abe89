package emulator

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minAnswerTokens and answerTokenRange determine the natural length of answers in
	// tokens.
	minAnswerTokens  = 8
	answerTokenRange = 248
	// tokenLetters is the number of letters of a token, after its leading space.
	tokenLetters = 8
	// vectorLength is the dimension of embeddings.
	vectorLength = 8
)

const tokenAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// PromptHash returns the hash of a row and a prompt that identifies them in executions.
func PromptHash(row structs.RowName, prompt string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(row))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// ExpectedToken returns the text of the token at index in the answer of a row to a
// prompt.
func ExpectedToken(row structs.RowName, prompt string, index int) string {
	return tokenText(PromptHash(row, prompt), index)
}

// ExpectedLength returns the number of tokens in the answer of a row to a prompt,
// limited to maxTokens.
func ExpectedLength(row structs.RowName, prompt string, maxTokens int) int {
	return max(min(naturalLength(PromptHash(row, prompt)), maxTokens), 0)
}

// ExpectedFinish returns the finish reason of the answer of a row to a prompt.
func ExpectedFinish(row structs.RowName, prompt string, maxTokens int) structs.FinishReason {
	return finishReason(PromptHash(row, prompt), maxTokens)
}

// ExpectedVector returns the embedding of an input by a row.
func ExpectedVector(row structs.RowName, input string) []float32 {
	seed := PromptHash(row, input)
	vector := make([]float32, vectorLength)
	for i := range vector {
		vector[i] = float32(mix(seed, uint64(i))>>40) / (1 << 24)
	}
	return vector
}

// ExpectedVectorText returns the embedding as the text of the single token that answers
// a generate request with Embedding set.
func ExpectedVectorText(row structs.RowName, input string) string {
	// Encoding finite numbers cannot fail.
	encoded, _ := json.Marshal(ExpectedVector(row, input))
	return string(encoded)
}

func finishReason(seed uint64, maxTokens int) structs.FinishReason {
	if naturalLength(seed) > maxTokens {
		return structs.FinishLength
	}
	return structs.FinishStop
}

func naturalLength(seed uint64) int {
	return minAnswerTokens + int(mix(seed, 0)%answerTokenRange)
}

func tokenText(seed uint64, index int) string {
	var text [tokenLetters + 1]byte
	text[0] = ' '
	bits := mix(seed, uint64(index)+1)
	for i := 1; i < len(text); i++ {
		text[i] = tokenAlphabet[bits&31]
		bits >>= 5
	}
	return string(text[:])
}

// mix returns output index of the splitmix64 generator with the given seed.
func mix(seed, index uint64) uint64 {
	bits := seed + (index+1)*0x9e3779b97f4a7c15
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}
