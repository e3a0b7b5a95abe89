package engineapi

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// TokenBytes is how many bytes of a prompt count as one token.
	TokenBytes = 4
	// BlockTokens is how many tokens one prefix block holds.
	BlockTokens = 16
	// BlockBytes is how many bytes of a prompt one prefix block holds.
	BlockBytes = TokenBytes * BlockTokens
)

// PromptTokens returns how many tokens a prompt has.
func PromptTokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// PromptBlocks returns the keys of the whole prefix blocks of a prompt. Key i
// depends on the row and on the prompt up to the end of block i, so two prompts
// share as many leading keys as they share whole blocks.
func PromptBlocks(row structs.RowName, prompt string) []uint64 {
	keys := make([]uint64, 0, len(prompt)/BlockBytes)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(row))
	_, _ = digest.Write([]byte{0})
	for start := 0; start+BlockBytes <= len(prompt); start += BlockBytes {
		_, _ = digest.WriteString(prompt[start : start+BlockBytes])
		keys = append(keys, digest.Sum64())
	}
	return keys
}
