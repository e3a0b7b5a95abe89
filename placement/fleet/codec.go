package fleet

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/internal/deflate"
)

const (
	// packedFrom is the size in bytes from which a view is packed.
	packedFrom = 2 << 10
	// maxViewBytes bounds a view after it is unpacked.
	maxViewBytes = 64 << 20
)

// EncodedView is a view as bytes, which many routers can be sent.
type EncodedView struct {
	IsPacked bool
	Bytes    []byte
}

// Encode returns the view as bytes, packed if it is large.
func (v View) Encode() (EncodedView, error) {
	v.Runners = split(v.Runners)
	encoded, err := msgpack.Marshal(&v)
	if err != nil || len(encoded) < packedFrom {
		return EncodedView{Bytes: encoded}, errors.Wrap(err, "encode view")
	}
	packed, err := deflate.Pack(encoded)
	return EncodedView{IsPacked: true, Bytes: packed}, err
}

// Decode is the reverse of View.Encode.
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
	name(view.Runners)
	return view, nil
}
