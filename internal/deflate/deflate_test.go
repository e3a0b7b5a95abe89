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

// Both forms must decompress alike, one after the other and after a damaged one: decompressors are
// used again.
func TestSmallMessagesRoundTrip(t *testing.T) {
	c := qt.New(t)
	for length := range 600 {
		source := bytes.Repeat([]byte("runner 17;"), length/10+1)[:length]
		packed, err := PackSmall(source)
		c.Assert(err, qt.IsNil)
		large, err := Pack(source)
		c.Assert(err, qt.IsNil)
		for _, each := range [][]byte{packed, large} {
			unpacked, err := Unpack(each, 1000)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(unpacked, source), qt.IsTrue)
		}
		_, err = Unpack(packed[:len(packed)/2], 1000)
		c.Assert(err, qt.IsNotNil)
	}
}
