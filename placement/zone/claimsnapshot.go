package zone

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// keyBytes is the length of a keyHash in a snapshot.
const keyBytes = 8

// save writes the claims to a snapshot in a deterministic order.
func (t *claimTable) save(data *snapshotData) {
	for _, key := range slices.Sorted(maps.Keys(t.open)) {
		data.Claims = append(data.Claims, snapshotClaim{Claim: saveOpen(t.open[key].claim)})
	}
	data.Released = t.released.list()
	numbers := t.finished.saveHolders(data)
	for _, key := range slices.Sorted(maps.Keys(t.finished.byKey)) {
		known := t.finished.byKey[key]
		data.Finished = append(data.Finished, snapshotFinished{
			Key: uint64(key), Digest: known.digest, Request: known.request, Answer: known.answer,
			Bytes: known.bytes, ExpiresAt: known.expiresAt, Holder: numbers[known.holder],
		})
	}
	for _, batch := range t.keyOnly.keyBatches {
		saved := snapshotKeys{End: batch.end, Keys: make([]byte, 0, keyBytes*batch.size())}
		for _, hash := range batch.all() {
			saved.Keys = binary.BigEndian.AppendUint64(saved.Keys, uint64(hash))
		}
		data.Keys = append(data.Keys, saved)
	}
}

// saveHolders writes the holders that are in use, sorted, and maps their indexes to
// those in the snapshot.
func (f *finishedClaims) saveHolders(data *snapshotData) map[uint32]uint32 {
	var used []uint32
	for number, claims := range f.claimsByHolder {
		if claims > 0 {
			used = append(used, uint32(number))
		}
	}
	slices.SortFunc(used, func(a, b uint32) int {
		one, other := f.holders[a], f.holders[b]
		return cmp.Or(strings.Compare(string(one.Daemon), string(other.Daemon)), strings.Compare(one.Address, other.Address))
	})
	numbers := map[uint32]uint32{}
	for place, number := range used {
		numbers[number] = uint32(place)
		data.Holders = append(data.Holders, f.holders[number])
	}
	return numbers
}

// restore fills an empty table from a snapshot.
func (t *claimTable) restore(data snapshotData) error {
	for _, request := range data.Released {
		t.released.add(request)
	}
	for _, holder := range data.Holders {
		if _, twice := t.finished.indexByHolder[holder]; twice {
			return corrupt("the zone snapshot names a holder of answers twice")
		}
		t.finished.indexByHolder[holder] = uint32(len(t.finished.holders))
		t.finished.holders = append(t.finished.holders, holder)
		t.finished.claimsByHolder = append(t.finished.claimsByHolder, 0)
	}
	for _, entry := range data.Finished {
		if int(entry.Holder) >= len(t.finished.holders) {
			return corrupt("a claim of the zone snapshot has no holder")
		}
		if _, twice := t.finished.byKey[keyHash(entry.Key)]; twice {
			return corrupt("the zone snapshot holds a finished claim twice")
		}
		t.finished.put(keyHash(entry.Key), finishedClaim{
			digest: entry.Digest, request: entry.Request, answer: entry.Answer,
			bytes: entry.Bytes, expiresAt: entry.ExpiresAt, holder: entry.Holder,
		})
	}
	heap.Init(&t.finished.expiry)
	for _, entry := range data.Claims {
		t.restoreOpen(entry.Claim)
	}
	return t.restoreKeys(data.Keys)
}

// snapshotOpenClaim is a structs.Claim in a snapshot. Answer is set only in snapshots
// of earlier versions, which stored the answers of finished claims.
type snapshotOpenClaim struct {
	Key           structs.ClaimKey
	Request       structs.RequestID
	Digest        uint64
	Home          structs.ZoneID
	Holder        structs.DaemonID
	Session       structs.SessionID
	HolderAddress string
	State         structs.ClaimState
	Choice        uint64
	Runner        structs.RunnerID
	Incarnation   structs.Incarnation
	Address       string
	EngineRequest structs.RequestID
	ChosenAt      time.Time
	Answer        []byte
	ExpiresAt     time.Time
}

func saveOpen(claim structs.Claim) snapshotOpenClaim {
	return snapshotOpenClaim{
		Key: claim.Key, Request: claim.Request, Digest: claim.Digest,
		Holder: claim.Holder, Session: claim.Session, HolderAddress: claim.HolderAddress, State: claim.State,
		Choice: claim.Choice, Runner: claim.Runner, Incarnation: claim.Incarnation,
		Address: claim.Address, EngineRequest: claim.EngineRequest, ChosenAt: claim.ChosenAt,
	}
}

// restoreOpen restores a claim with its key. A finished claim of an earlier version
// stays finished, but its answer is dropped.
func (t *claimTable) restoreOpen(saved snapshotOpenClaim) {
	claim := structs.Claim{
		Key: saved.Key, Request: saved.Request, Digest: saved.Digest,
		Holder: saved.Holder, Session: saved.Session, HolderAddress: saved.HolderAddress, State: saved.State,
		Choice: saved.Choice, Runner: saved.Runner, Incarnation: saved.Incarnation,
		Address: saved.Address, EngineRequest: saved.EngineRequest, ChosenAt: normalTime(saved.ChosenAt),
	}
	if claim.State == structs.ClaimFinished {
		t.finished.add(claim, &ClaimFinishCommand{ExpiresAt: saved.ExpiresAt})
		return
	}
	record := &claimRecord{claim}
	t.open[claim.Key] = record
	if claim.State == structs.ClaimHeld {
		t.held[claim.Key] = record
	}
}

func (t *claimTable) restoreKeys(saved []snapshotKeys) error {
	for _, entry := range saved {
		if len(entry.Keys) == 0 || len(entry.Keys)%keyBytes != 0 {
			return corrupt("the zone snapshot has an invalid batch of keys")
		}
		batch := keyBatch{end: entry.End, sorted: make([]keyHash, 0, len(entry.Keys)/keyBytes)}
		for rest := entry.Keys; len(rest) > 0; rest = rest[keyBytes:] {
			batch.sorted = append(batch.sorted, keyHash(binary.BigEndian.Uint64(rest)))
		}
		t.keyOnly.keyBatches = append(t.keyOnly.keyBatches, batch)
		t.keyOnly.count += batch.size()
	}
	return nil
}
