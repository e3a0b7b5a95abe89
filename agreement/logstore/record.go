package logstore

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

const (
	// checksumBytes is the length of the checksum before each payload.
	checksumBytes = 8
	// snapshotWindowBytes is the compressor's window. Decompression refuses a larger
	// one, so that a forged record cannot make it take more memory at once.
	snapshotWindowBytes = 8 << 20
	// maxSnapshotBytes bounds the data of a snapshot.
	maxSnapshotBytes = 256 << 20
)

// errChecksum says that a record is not what was written.
var errChecksum = errors.New("checksum does not match")

// stateRecord is rewritten by every transaction. The log holds exactly the
// indexes First to Last; it is empty when Last is First-1.
type stateRecord struct {
	Term   uint64
	Vote   raft.NodeID
	Commit uint64
	First  uint64
	Last   uint64
}

// entryRecord is the stored form of a raft.Entry.
type entryRecord struct {
	Term  uint64
	Index uint64
	Kind  raft.EntryKind
	Data  []byte
}

// snapshotRecord is the stored form of a raft.Snapshot; Compressed is its data, of
// Size bytes, under zstd.
type snapshotRecord struct {
	Index      uint64
	Term       uint64
	Voters     nodeList
	Learners   nodeList
	Size       int64
	Compressed []byte
}

// maxMembers bounds the members of a stored membership.
const maxMembers = 4096

// nodeList is a list of members. Its decoder takes no memory for a length that the
// record only announces.
type nodeList []raft.NodeID

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *nodeList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxMembers {
		return errors.Errorf("%d members are too many", count)
	}
	*l = nil
	for range count {
		node, err := decoder.DecodeUint64()
		if err != nil {
			return err
		}
		*l = append(*l, raft.NodeID(node))
	}
	return nil
}

// encodeRecord returns the checksum of key and payload, followed by the payload.
func encodeRecord(key []byte, record any) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, checksumBytes))
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(record); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	value := buffer.Bytes()
	binary.BigEndian.PutUint64(value, checksum(key, value[checksumBytes:]))
	return value, nil
}

// decodeRecord checks value against its key and decodes the payload into record.
func decodeRecord(key, value []byte, record any) error {
	if len(value) < checksumBytes {
		return errors.New("record is too short")
	}
	payload := value[checksumBytes:]
	if binary.BigEndian.Uint64(value) != checksum(key, payload) {
		return errChecksum
	}
	return errors.Wrap(msgpack.Unmarshal(payload, record), "decode record")
}

func checksum(key, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// indexKey is the key of a log entry: big-endian, so that keys sort by index.
func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func encodeEntry(entry raft.Entry) (key, value []byte, err error) {
	key = indexKey(entry.Index)
	record := entryRecord{Term: entry.Term, Index: entry.Index, Kind: entry.Kind, Data: entry.Data}
	value, err = encodeRecord(key, &record)
	return key, value, err
}

func decodeEntry(key, value []byte) (raft.Entry, error) {
	var record entryRecord
	if err := decodeRecord(key, value, &record); err != nil {
		return raft.Entry{}, err
	}
	if len(key) != 8 || binary.BigEndian.Uint64(key) != record.Index {
		return raft.Entry{}, errors.New("entry stands under another index")
	}
	return raft.Entry{Term: record.Term, Index: record.Index, Kind: record.Kind, Data: record.Data}, nil
}

func encodeSnapshot(key []byte, snapshot raft.Snapshot) ([]byte, error) {
	if len(snapshot.Data) > maxSnapshotBytes {
		return nil, errors.Errorf("snapshot of %d bytes exceeds the limit of %d", len(snapshot.Data), maxSnapshotBytes)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindowBytes))
	if err != nil {
		return nil, errors.Wrap(err, "make compressor")
	}
	defer encoder.Close()
	return encodeRecord(key, &snapshotRecord{
		Index:      snapshot.Index,
		Term:       snapshot.Term,
		Voters:     snapshot.Membership.Voters,
		Learners:   snapshot.Membership.Learners,
		Size:       int64(len(snapshot.Data)),
		Compressed: encoder.EncodeAll(snapshot.Data, nil),
	})
}

func decodeSnapshot(key, value []byte) (raft.Snapshot, error) {
	var record snapshotRecord
	if err := decodeRecord(key, value, &record); err != nil {
		return raft.Snapshot{}, err
	}
	data, err := decompress(record.Compressed, record.Size)
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "decompress snapshot")
	}
	return raft.Snapshot{
		Index:      record.Index,
		Term:       record.Term,
		Membership: raft.Membership{Voters: record.Voters, Learners: record.Learners},
		Data:       data,
	}, nil
}

// decompress takes memory as the data comes, not as its header announces.
func decompress(compressed []byte, size int64) ([]byte, error) {
	if size < 0 || size > maxSnapshotBytes {
		return nil, errors.Errorf("size %d is out of range", size)
	}
	decoder, err := zstd.NewReader(bytes.NewReader(compressed),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(snapshotWindowBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	data, err := io.ReadAll(io.LimitReader(decoder, size+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) != size {
		return nil, errors.Errorf("%d bytes instead of %d", len(data), size)
	}
	return data, nil
}
