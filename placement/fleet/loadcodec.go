package fleet

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// The packed form of loads is
//
//	version, number of loads, shared prefix of the runner IDs, earliest start time, loads
//
// and of each load
//
//	head, rest of the ID, [start time since the earliest], requests, reading
//
// Integers are unsigned varints, and a string has its length before it. The head holds the length
// of the ID's rest and two flags: whether that rest is hexadecimal, with two digits a byte, and
// whether a start time follows. Reading is one byte.
const (
	loadsVersion = 1
	// readingUnit is the unit of Load.Reading in the packed form.
	readingUnit = 0.01
	// maxPackedReading is the highest reading share that the packed form holds, in units.
	maxPackedReading = math.MaxUint8
	// maxPackedLoads bounds the number of loads in a message.
	maxPackedLoads = 1 << 16

	headHasStart = 1 << 0
	headIsHex    = 1 << 1
	headShift    = 2
)

var errLoadsMalformed = errors.New("packed loads are malformed")

// PackLoads encodes loads in about 12 bytes each, where gob takes about 32. The result is never
// empty. Reading shares are rounded to hundredths, of which at most 255 are kept. A known share
// is not rounded to 0, which means unknown.
func PackLoads(loads []Load) []byte {
	ids, starts := make([]string, len(loads)), make([]int64, len(loads))
	var earliest int64
	for i, load := range loads {
		ids[i], starts[i] = SplitIncarnation(load.Instance)
		if starts[i] > 0 && (earliest == 0 || starts[i] < earliest) {
			earliest = starts[i]
		}
	}
	prefix := sharedPrefix(ids)
	packed := []byte{loadsVersion}
	packed = binary.AppendUvarint(packed, uint64(len(loads)))
	packed = binary.AppendUvarint(packed, uint64(len(prefix)))
	packed = append(packed, prefix...)
	packed = binary.AppendUvarint(packed, uint64(earliest))
	for i, load := range loads {
		packed = appendName(packed, ids[i][len(prefix):], starts[i], earliest)
		packed = binary.AppendUvarint(packed, uint64(max(0, load.Requests)))
		packed = append(packed, packedReading(load.Reading))
	}
	return packed
}

func sharedPrefix(names []string) string {
	if len(names) == 0 {
		return ""
	}
	prefix := names[0]
	for _, name := range names[1:] {
		for !strings.HasPrefix(name, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

func appendName(packed []byte, rest string, start, earliest int64) []byte {
	head, written := uint64(len(rest))<<headShift, []byte(rest)
	if digits, err := hex.DecodeString(evenDigits(rest)); err == nil && strings.ToLower(rest) == rest {
		head, written = head|headIsHex, digits
	}
	if start > 0 {
		head |= headHasStart
	}
	packed = append(binary.AppendUvarint(packed, head), written...)
	if start > 0 {
		packed = binary.AppendUvarint(packed, uint64(start-earliest))
	}
	return packed
}

// evenDigits appends a digit to an odd number of digits.
func evenDigits(digits string) string {
	if len(digits)%2 == 0 {
		return digits
	}
	return digits + "0"
}

func packedReading(reading float64) byte {
	if !(reading > 0) {
		return 0
	}
	return byte(min(maxPackedReading, max(1, math.Round(reading/readingUnit))))
}

// UnpackLoads decodes the result of PackLoads.
func UnpackLoads(packed []byte) ([]Load, error) {
	if len(packed) == 0 || packed[0] != loadsVersion {
		return nil, errors.Wrap(errLoadsMalformed, "unknown version")
	}
	r := &loadsReader{rest: packed[1:]}
	count := r.number()
	prefix := string(r.bytes(r.number()))
	earliest := r.number()
	if count > maxPackedLoads || count > uint64(len(r.rest)) {
		return nil, errLoadsMalformed
	}
	loads := make([]Load, 0, count)
	for range count {
		load := Load{Instance: r.name(prefix, earliest), Requests: int(r.number())}
		if reading := r.bytes(1); len(reading) == 1 {
			load.Reading = float64(reading[0]) * readingUnit
		}
		loads = append(loads, load)
	}
	if r.isMalformed || len(r.rest) > 0 {
		return nil, errLoadsMalformed
	}
	return loads, nil
}

// loadsReader reads packed loads. After malformed input it returns zero values.
type loadsReader struct {
	rest        []byte
	isMalformed bool
}

func (r *loadsReader) number() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > math.MaxInt64 {
		r.isMalformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *loadsReader) bytes(count uint64) []byte {
	if count > uint64(len(r.rest)) {
		r.isMalformed, r.rest = true, nil
		return nil
	}
	read := r.rest[:count]
	r.rest = r.rest[count:]
	return read
}

func (r *loadsReader) name(prefix string, earliest uint64) string {
	head := r.number()
	length := head >> headShift
	var rest string
	if head&headIsHex != 0 {
		digits := hex.EncodeToString(r.bytes((length + 1) / 2))
		rest = digits[:min(length, uint64(len(digits)))]
	} else {
		rest = string(r.bytes(length))
	}
	if head&headHasStart == 0 {
		return prefix + rest
	}
	return Incarnation(prefix+rest, int64(earliest+r.number()))
}
