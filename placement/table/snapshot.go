package table

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// A snapshot consists of the magic, the xxHash64 checksum of the payload, and the
// payload, the zstd-compressed msgpack of the state.
const (
	snapshotMagic  = "lftable2"
	checksumBytes  = 8
	snapshotHeader = len(snapshotMagic) + checksumBytes
	snapshotWindow = 1 << 20
	bufferBytes    = 64 << 10
	// maxSnapshotBytes is the maximum size of a decompressed snapshot.
	maxSnapshotBytes = 1 << 30
)

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	var data bytes.Buffer
	data.WriteString(snapshotMagic)
	data.Write(make([]byte, checksumBytes))
	if err := s.writeCompressed(&data); err != nil {
		return nil, structs.NewError(structs.ErrorInternal, "encoding a table snapshot: "+err.Error(), "Report this as a fault.")
	}
	snapshot := data.Bytes()
	binary.BigEndian.PutUint64(snapshot[len(snapshotMagic):], xxhash.Sum64(snapshot[snapshotHeader:]))
	return snapshot, nil
}

// writeCompressed streams the compressed state, without buffering all of it
// uncompressed.
func (s *State) writeCompressed(target io.Writer) error {
	compressor, err := zstd.NewWriter(target, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindow))
	if err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(compressor, bufferBytes)
	writer := snapshotWriter{encoder: msgpack.NewEncoder(buffered)}
	writer.state(s)
	writer.setError(buffered.Flush())
	writer.setError(compressor.Close())
	return writer.err
}

// Restore replaces the state by that of a snapshot. It returns ErrorCorrupt and leaves
// the state unchanged if the checksum fails or an invariant is violated.
func (s *State) Restore(data []byte) error {
	if len(data) < snapshotHeader || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return corruptSnapshot("it has no table snapshot header")
	}
	payload := data[snapshotHeader:]
	if binary.BigEndian.Uint64(data[len(snapshotMagic):]) != xxhash.Sum64(payload) {
		return corruptSnapshot("its checksum is wrong")
	}
	decompressor, err := zstd.NewReader(bytes.NewReader(payload), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxWindow(snapshotWindow))
	if err != nil {
		return corruptSnapshot(err.Error())
	}
	defer decompressor.Close()
	restored, err := restorePlain(decompressor)
	if err != nil {
		return err
	}
	*s = *restored
	return nil
}

// restorePlain decodes a state from uncompressed msgpack and checks its invariants.
func restorePlain(source io.Reader) (*State, error) {
	buffered := bufio.NewReaderSize(io.LimitReader(source, maxSnapshotBytes), bufferBytes)
	reader := snapshotReader{decoder: msgpack.NewDecoder(buffered), names: make(map[string]string)}
	restored := New()
	reader.state(restored)
	if reader.err != nil {
		return nil, corruptSnapshot(reader.err.Error())
	}
	if _, err := buffered.ReadByte(); err != io.EOF {
		return nil, corruptSnapshot("there is data after the end")
	}
	if err := restored.CheckInvariants(); err != nil {
		return nil, corruptSnapshot(err.Error())
	}
	return restored, nil
}

func corruptSnapshot(reason string) *structs.Error {
	return structs.NewError(structs.ErrorCorrupt, "table snapshot cannot be restored: "+reason,
		"Delete this member's data folder and let it join again, so that it gets the leader's snapshot.")
}
