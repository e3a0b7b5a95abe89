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
	// checksumBytes is the size of the checksum that precedes each payload.
	checksumBytes = 8
	// snapshotWindowBytes is the compression window size. Decompression rejects a larger
	// window, which bounds its memory for a forged record.
	snapshotWindowBytes = 8 << 20
	// maxSnapshotBytes is the maximum size of uncompressed snapshot data.
	maxSnapshotBytes = 256 << 20
)

// errChecksum is the error for a record that differs from what was written.
var errChecksum = errors.New("checksum does not match")

// stateRecord is rewritten by every transaction. The log contains exactly the indexes
// First to Last, and is empty if Last is First-1.
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

// snapshotRecord is the stored form of a raft.Snapshot. Compressed is its data compressed
// with zstd; Size is the uncompressed size.
type snapshotRecord struct {
	Index      uint64
	Term       uint64
	Voters     nodeList
	Learners   nodeList
	Size       int64
	Compressed []byte
}

// maxMembers is the maximum number of voters, and of learners, in a stored membership.
const maxMembers = 4096

// nodeList is a list of members whose decoder allocates memory only for the elements
// present, not for the announced length.
type nodeList []raft.NodeID

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *nodeList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxMembers {
		return errors.Errorf("%d members exceed the maximum", count)
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

// decodeRecord verifies the checksum of key and value and decodes the payload into record.
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

// indexKey returns the key of a log entry, big-endian so that keys sort by index.
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
		return raft.Entry{}, errors.New("entry is stored under another index")
	}
	return raft.Entry{Term: record.Term, Index: record.Index, Kind: record.Kind, Data: record.Data}, nil
}

func encodeSnapshot(key []byte, snapshot raft.Snapshot) ([]byte, error) {
	if len(snapshot.Data) > maxSnapshotBytes {
		return nil, errors.Errorf("snapshot of %d bytes exceeds the limit of %d", len(snapshot.Data), maxSnapshotBytes)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindowBytes))
	if err != nil {
		return nil, errors.Wrap(err, "create compressor")
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

// decompress decompresses size bytes. It allocates memory for the data as it is read,
// not for the size in the header.
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
		return nil, errors.Errorf("got %d bytes instead of %d", len(data), size)
	}
	return data, nil
}
