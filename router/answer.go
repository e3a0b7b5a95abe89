package router

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/structs"
)

// answerBytesPerToken is what a claim sets aside for each token of an answer.
const answerBytesPerToken = 32

// answerReserve is set aside for any answer, so that a short one with a few long
// tokens fits.
const answerReserve = 1024

// embeddingReserve is set aside for a vector as text: over 4,096 numbers.
const embeddingReserve = 64 << 10

// answerOverhead bounds what EncodeAnswer adds to the text.
const answerOverhead = 128

// Answer is the whole answer to a request with a key, as a claim keeps it.
type Answer struct {
	Text   string
	Tokens int
	Finish structs.FinishReason
}

// EncodeAnswer encodes an answer for structs.Claim.
func EncodeAnswer(answer Answer) ([]byte, error) {
	encoded, err := msgpack.Marshal(&answer)
	return encoded, errors.Wrap(err, "encode answer")
}

// DecodeAnswer decodes the answer of a Replay.
func DecodeAnswer(encoded []byte) (Answer, error) {
	var answer Answer
	err := msgpack.Unmarshal(encoded, &answer)
	return answer, errors.Wrap(err, "decode answer")
}
