package domain

import "github.com/lotusferry/lotusferry/deflate"

// maxSourceBytes bounds a document after it is expanded.
const maxSourceBytes = 32 << 20

// Compress packs the text of a document, which repeats itself much.
func Compress(source []byte) ([]byte, error) { return deflate.Pack(source) }

// Expand is the reverse of Compress.
func Expand(packed []byte) ([]byte, error) { return deflate.Unpack(packed, maxSourceBytes) }
