package domain

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// maxSourceBytes bounds a document after it is expanded.
const maxSourceBytes = 32 << 20

// Compress packs the text of a document, which repeats itself much.
func Compress(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err := writer.Write(source); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return packed.Bytes(), nil
}

// Expand is the reverse of Compress.
func Expand(packed []byte) ([]byte, error) {
	source, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSourceBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "expand document")
	}
	if len(source) > maxSourceBytes {
		return nil, structs.NewError(structs.ErrorInvalid, "a document is larger than 32 MiB", "Split the site.")
	}
	return source, nil
}
