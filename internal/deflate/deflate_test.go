package deflate

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestPackUnpackRoundTrip(t *testing.T) {
	c := qt.New(t)
	source := bytes.Repeat([]byte("runner"), 1000)
	packed, err := Pack(source)
	c.Assert(err, qt.IsNil)
	c.Assert(len(packed) < len(source)/10, qt.IsTrue)
	unpacked, err := Unpack(packed, int64(len(source)))
	c.Assert(err, qt.IsNil)
	c.Assert(unpacked, qt.DeepEquals, source)
	_, err = Unpack(packed, int64(len(source))-1)
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	_, err = Unpack(packed[:len(packed)/2], 1<<20)
	c.Assert(err, qt.IsNotNil)
}
