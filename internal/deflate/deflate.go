// Package deflate packs messages that repeat themselves much.
package deflate

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Pack compresses the bytes.
func Pack(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack message")
	}
	if _, err := writer.Write(source); err != nil {
		return nil, errors.Wrap(err, "pack message")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack message")
	}
	return packed.Bytes(), nil
}

// Unpack is the reverse of Pack. It fails with ErrorInvalid for more than limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	source, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack message")
	}
	if int64(len(source)) > limit {
		return nil, structs.NewError(structs.ErrorInvalid, "a packed message is larger than its limit", "Send less at once.")
	}
	return source, nil
}
