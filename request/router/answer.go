package router

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/structs"
)

// answerOverhead bounds the bytes that EncodeAnswer adds to the text.
const answerOverhead = 128

// Answer is the complete answer to a request with a key, as stored by its router.
type Answer struct {
	Text   string
	Tokens int
	Finish structs.FinishReason
}

// EncodeAnswer encodes an answer for storage.
func EncodeAnswer(answer Answer) ([]byte, error) {
	encoded, err := msgpack.Marshal(&answer)
	return encoded, errors.Wrap(err, "encode answer")
}

// MarkAnswer returns the size and hash of an encoded answer, which the claim records.
func MarkAnswer(encoded []byte) structs.AnswerMark {
	return structs.AnswerMark{Bytes: len(encoded), Hash: xxhash.Sum64(encoded)}
}

// DecodeAnswer decodes the answer of a Replay.
func DecodeAnswer(encoded []byte) (Answer, error) {
	var answer Answer
	err := msgpack.Unmarshal(encoded, &answer)
	return answer, errors.Wrap(err, "decode answer")
}
