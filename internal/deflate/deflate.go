// Package deflate compresses messages with DEFLATE.
package deflate

import (
	"bytes"
	"io"
	"sync"

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

// PackSmall compresses a source of up to some kilobytes. It takes about 6 µs and no memory but the
// result, where Pack allocates about 800 KB. The result is a few per cent larger.
func PackSmall(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	if err := flate.StatelessDeflate(&packed, source, true, nil); err != nil {
		return nil, errors.Wrap(err, "compress the message")
	}
	return packed.Bytes(), nil
}

// readers holds unused decompressors, each of which takes about 40 KB.
var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Unpack decompresses the output of Pack or PackSmall. The error kind is ErrorInvalid if the result
// exceeds limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	reader := readers.Get().(io.Reader)
	defer readers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, errors.Wrap(err, "decompress the message")
	}
	source, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the message")
	}
	if int64(len(source)) > limit {
		return nil, structs.NewError(structs.ErrorInvalid, "a decompressed message exceeds the size limit", "Send smaller messages.")
	}
	return source, nil
}
