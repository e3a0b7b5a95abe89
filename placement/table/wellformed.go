package table

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of a command's msgpack values.
const maxDepth = 16

var (
	errTruncated = errors.New("the data is cut short")
	errTrailing  = errors.New("there is data after the end")
	errTooDeep   = errors.New("values are nested too deeply")
	errBadCode   = errors.New("a value has a kind that commands don't use")
)

// checkWellFormed checks that data is exactly one msgpack value whose lengths are within
// the data, so that decoding it allocates and recurses only within limits.
func checkWellFormed(data []byte) error {
	rest, err := skipValue(data, maxDepth)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errTrailing
	}
	return nil
}

// skipValue returns the data after its first value.
func skipValue(data []byte, depth int) ([]byte, error) {
	if depth == 0 {
		return nil, errTooDeep
	}
	if len(data) == 0 {
		return nil, errTruncated
	}
	code := data[0]
	data = data[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return data, nil
	case msgpcode.IsFixedString(code):
		return skipBytes(data, uint64(code&msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return skipValues(data, uint64(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(code):
		return skipValues(data, 2*uint64(code&msgpcode.FixedMapMask), depth)
	}
	return skipLongValue(code, data, depth)
}

// skipLongValue skips a value whose size or length follows its code.
func skipLongValue(code byte, data []byte, depth int) ([]byte, error) {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return data, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(data, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(data, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(data, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(data, 8)
	case msgpcode.FixExt4:
		return skipBytes(data, 1+4)
	case msgpcode.FixExt8:
		return skipBytes(data, 1+8)
	}
	width, scale, isContainer := lengthLayout(code)
	if width == 0 {
		return nil, errBadCode
	}
	length, data, err := readLength(data, width)
	if err != nil {
		return nil, err
	}
	if isContainer {
		return skipValues(data, length*scale, depth)
	}
	return skipBytes(data, length+scale)
}

// lengthLayout returns the width in bytes of the length that follows the code. For
// containers, scale is the number of values per entry; for others, the number of
// extra bytes.
func lengthLayout(code byte) (width int, scale uint64, isContainer bool) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 1, 0, false
	case msgpcode.Str16, msgpcode.Bin16:
		return 2, 0, false
	case msgpcode.Str32, msgpcode.Bin32:
		return 4, 0, false
	case msgpcode.Ext8:
		return 1, 1, false
	case msgpcode.Array16:
		return 2, 1, true
	case msgpcode.Array32:
		return 4, 1, true
	case msgpcode.Map16:
		return 2, 2, true
	case msgpcode.Map32:
		return 4, 2, true
	}
	return 0, 0, false
}

func readLength(data []byte, width int) (uint64, []byte, error) {
	if len(data) < width {
		return 0, nil, errTruncated
	}
	switch width {
	case 1:
		return uint64(data[0]), data[1:], nil
	case 2:
		return uint64(binary.BigEndian.Uint16(data)), data[2:], nil
	default:
		return uint64(binary.BigEndian.Uint32(data)), data[4:], nil
	}
}

func skipBytes(data []byte, count uint64) ([]byte, error) {
	if uint64(len(data)) < count {
		return nil, errTruncated
	}
	return data[count:], nil
}

func skipValues(data []byte, count uint64, depth int) ([]byte, error) {
	if uint64(len(data)) < count {
		return nil, errTruncated
	}
	var err error
	for ; count > 0; count-- {
		data, err = skipValue(data, depth-1)
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
