package zone

import (
	"encoding/binary"
	"math"
)

const (
	// maxNesting is the maximum nesting depth of encoded values.
	maxNesting = 16
	// maxElements is the maximum total number of array and map elements. A decoded
	// element can take far more memory than its encoding.
	maxElements = 4 << 20
)

// scanner validates msgpack without decoding it. The codec allocates the length
// declared by a header without checking it against the data, so lengths are checked
// beforehand.
type scanner struct {
	rest     []byte
	elements uint64
}

// wellFormed reports whether the data begins with a complete value whose declared
// lengths are within the data and the limits.
func wellFormed(data []byte) bool {
	s := scanner{rest: data}
	return s.value(maxNesting)
}

func (s *scanner) value(depth int) bool {
	if len(s.rest) == 0 || depth == 0 {
		return false
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case code <= 0x7f || code >= 0xe0: // fixint
		return true
	case code <= 0x8f: // fixmap
		return s.container(2*uint64(code&0x0f), depth)
	case code <= 0x9f: // fixarray
		return s.container(uint64(code&0x0f), depth)
	case code <= 0xbf: // fixstr
		return s.skip(uint64(code & 0x1f))
	case code >= 0xdc && code <= 0xdd: // array 16 and 32
		return s.container(s.length(2<<(code-0xdc)), depth)
	case code >= 0xde && code <= 0xdf: // map 16 and 32
		return s.container(2*s.length(2<<(code-0xde)), depth)
	}
	return s.scalar(code)
}

// scalar skips the rest of a value that is not an array or a map.
func (s *scanner) scalar(code byte) bool {
	switch {
	case code == 0xc0 || code == 0xc2 || code == 0xc3: // nil, false, true
		return true
	case code >= 0xc4 && code <= 0xc6: // bin 8, 16 and 32
		return s.skip(s.length(1 << (code - 0xc4)))
	case code >= 0xc7 && code <= 0xc9: // ext 8, 16 and 32, with a type
		return s.skip(s.length(1<<(code-0xc7)) + 1)
	case code >= 0xca && code <= 0xcb: // float 32 and 64
		return s.skip(4 << (code - 0xca))
	case code >= 0xcc && code <= 0xcf: // uint 8 to 64
		return s.skip(1 << (code - 0xcc))
	case code >= 0xd0 && code <= 0xd3: // int 8 to 64
		return s.skip(1 << (code - 0xd0))
	case code >= 0xd4 && code <= 0xd8: // fixext 1 to 16, with a type
		return s.skip(1<<(code-0xd4) + 1)
	case code >= 0xd9 && code <= 0xdb: // str 8, 16 and 32
		return s.skip(s.length(1 << (code - 0xd9)))
	}
	return false
}

func (s *scanner) container(elements uint64, depth int) bool {
	s.elements += elements
	if elements > uint64(len(s.rest)) || s.elements > maxElements {
		return false
	}
	for range elements {
		if !s.value(depth - 1) {
			return false
		}
	}
	return true
}

func (s *scanner) skip(bytes uint64) bool {
	if bytes > uint64(len(s.rest)) {
		return false
	}
	s.rest = s.rest[bytes:]
	return true
}

// length reads a length of the given number of bytes. It returns math.MaxUint32 if
// the data is truncated.
func (s *scanner) length(size int) uint64 {
	if len(s.rest) < size {
		return math.MaxUint32
	}
	var padded [8]byte
	copy(padded[8-size:], s.rest)
	s.rest = s.rest[size:]
	return binary.BigEndian.Uint64(padded[:])
}
