package fleet

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/internal/deflate"
)

const (
	// compressFrom is the encoded size in bytes from which a view is compressed. The names of the
	// fields repeat with each runner, so a second runner halves the size.
	compressFrom = 400
	// largeFrom is the size from which the better compression is worth its memory.
	largeFrom = 16 << 10
	// maxViewBytes bounds the size of a decompressed view.
	maxViewBytes = 64 << 20
)

// EncodedView is an encoded view. It can be sent to any number of routers.
type EncodedView struct {
	IsPacked bool
	Bytes    []byte
}

// Encode returns the encoded view, compressed if it is large.
func (v View) Encode() (EncodedView, error) {
	v.Runners = splitIncarnations(v.Runners)
	encoded, err := msgpack.Marshal(&v)
	if err != nil || len(encoded) < compressFrom {
		return EncodedView{Bytes: encoded}, errors.Wrap(err, "encode view")
	}
	pack := deflate.PackSmall
	if len(encoded) >= largeFrom {
		pack = deflate.Pack
	}
	packed, err := pack(encoded)
	return EncodedView{IsPacked: true, Bytes: packed}, err
}

// Decode returns the view that View.Encode encoded.
func (e EncodedView) Decode() (View, error) {
	var view View
	encoded := e.Bytes
	if e.IsPacked {
		unpacked, err := deflate.Unpack(e.Bytes, maxViewBytes)
		if err != nil {
			return view, err
		}
		encoded = unpacked
	}
	if err := msgpack.Unmarshal(encoded, &view); err != nil {
		return view, errors.Wrap(err, "decode view")
	}
	joinIncarnations(view.Runners)
	return view, nil
}
