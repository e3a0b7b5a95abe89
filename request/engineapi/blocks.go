package engineapi

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// TokenBytes is the assumed number of prompt bytes per token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in a prefix block.
	BlockTokens = 16
	// BlockBytes is the number of prompt bytes in a prefix block.
	BlockBytes = TokenBytes * BlockTokens
)

// PromptTokens returns the estimated number of tokens of a prompt, rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// PromptBlocks returns the keys of the complete prefix blocks of a prompt. Key i is a
// hash of the row and the prompt up to the end of block i, so two prompts of a row
// with n leading blocks in common have n leading keys in common.
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
