package domain

import (
	"github.com/lotusferry/lotusferry/internal/deflate"
	"github.com/lotusferry/lotusferry/structs"
)

// maxSourceBytes bounds the uncompressed size of a document.
const maxSourceBytes = 32 << 20

// Compress compresses the text of a document.
func Compress(source []byte) ([]byte, error) { return deflate.Pack(source) }

// Expand decompresses a document compressed by Compress. It returns an error of kind
// ErrorInvalid if the text exceeds maxSourceBytes.
func Expand(compressed []byte) ([]byte, error) {
	source, err := deflate.Unpack(compressed, maxSourceBytes)
	if structs.KindOf(err) == structs.ErrorInvalid {
		return nil, structs.NewError(structs.ErrorInvalid, "a document is larger than 32 MiB", "Split the site.")
	}
	return source, err
}
