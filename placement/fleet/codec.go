package fleet

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/internal/deflate"
)

const (
	// compressFrom is the encoded size in bytes from which a view is compressed.
	compressFrom = 2 << 10
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
	packed, err := deflate.Pack(encoded)
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
