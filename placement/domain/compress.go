package domain

import (
	"github.com/lotusferry/lotusferry/internal/deflate"
	"github.com/lotusferry/lotusferry/structs"
)

// maxSourceBytes bounds a document after it is expanded.
const maxSourceBytes = 32 << 20

// Compress packs the text of a document, which repeats itself much.
func Compress(source []byte) ([]byte, error) { return deflate.Pack(source) }

// Expand is the reverse of Compress.
func Expand(packed []byte) ([]byte, error) {
	source, err := deflate.Unpack(packed, maxSourceBytes)
	if structs.KindOf(err) == structs.ErrorInvalid {
		return nil, structs.NewError(structs.ErrorInvalid, "a document is larger than 32 MiB", "Split the site.")
	}
	return source, err
}
