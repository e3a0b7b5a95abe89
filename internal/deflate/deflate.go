// Package deflate compresses messages with DEFLATE.
package deflate

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Pack compresses source.
func Pack(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the message")
	}
	if _, err := writer.Write(source); err != nil {
		return nil, errors.Wrap(err, "compress the message")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the message")
	}
	return packed.Bytes(), nil
}

// Unpack decompresses the output of Pack. The error kind is ErrorInvalid if the result
// exceeds limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	source, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the message")
	}
	if int64(len(source)) > limit {
		return nil, structs.NewError(structs.ErrorInvalid, "a decompressed message exceeds the size limit", "Send smaller messages.")
	}
	return source, nil
}
