package table

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// A snapshot is the magic, the xxhash64 of the rest, and the zstd-compressed
// msgpack of the state.
const (
	snapshotMagic    = "lftable1"
	snapshotHeader   = len(snapshotMagic) + 8
	maxSnapshotBytes = 256 << 20
)

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	var plain bytes.Buffer
	writer := snapshotWriter{encoder: msgpack.NewEncoder(&plain)}
	writer.state(s)
	if writer.err != nil {
		return nil, structs.NewError(structs.ErrorInternal, "encoding a table snapshot: "+writer.err.Error(), "Report this as a fault.")
	}
	if plain.Len() > maxSnapshotBytes {
		return nil, structs.NewError(structs.ErrorLimit, fmt.Sprintf("the table takes %d bytes", plain.Len()),
			"Delete rows that are not needed.")
	}
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault))
	if err != nil {
		return nil, structs.NewError(structs.ErrorInternal, "compressing a table snapshot: "+err.Error(), "Report this as a fault.")
	}
	data := make([]byte, snapshotHeader, snapshotHeader+plain.Len()/4)
	copy(data, snapshotMagic)
	data = compressor.EncodeAll(plain.Bytes(), data)
	binary.BigEndian.PutUint64(data[len(snapshotMagic):], xxhash.Sum64(data[snapshotHeader:]))
	return data, compressor.Close()
}

// Restore replaces the state by a snapshot. A snapshot that fails its checksum or
// whose content breaks an invariant is refused with ErrorCorrupt, and the state
// stays as it was.
func (s *State) Restore(data []byte) error {
	if len(data) < snapshotHeader || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return corruptSnapshot("it does not begin as a table snapshot does")
	}
	payload := data[snapshotHeader:]
	if binary.BigEndian.Uint64(data[len(snapshotMagic):]) != xxhash.Sum64(payload) {
		return corruptSnapshot("its checksum is wrong")
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return structs.NewError(structs.ErrorInternal, "reading a table snapshot: "+err.Error(), "Report this as a fault.")
	}
	defer decompressor.Close()
	plain, err := decompressor.DecodeAll(payload, nil)
	if err != nil {
		return corruptSnapshot(err.Error())
	}
	restored, err := restorePlain(plain)
	if err != nil {
		return err
	}
	*s = *restored
	return nil
}

// restorePlain builds a state from the msgpack of a snapshot and checks it.
func restorePlain(plain []byte) (*State, error) {
	source := bytes.NewReader(plain)
	reader := snapshotReader{decoder: msgpack.NewDecoder(source), names: make(map[string]string)}
	restored := New()
	reader.state(restored)
	if reader.err != nil {
		return nil, corruptSnapshot(reader.err.Error())
	}
	if source.Len() > 0 {
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
