package zone

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// keyHash identifies the key of a finished claim. It is a truncated SHA-256 hash, so
// that callers cannot construct collisions. With four million stored keys, a new key
// collides by chance with probability 1 in 4e12 and is then rejected.
type keyHash uint64

func hashKey(key structs.ClaimKey) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(binary.BigEndian.Uint64(sum[:]))
}

func hashRequest(request structs.RequestID) uint64 { return uint64(hashKey(structs.ClaimKey(request))) }

// finishedClaim is the record of a finished claim. Times are in Unix seconds,
// rounded up.
type finishedClaim struct {
	digest    uint64
	request   uint64
	answer    uint64
	bytes     uint32
	expiresAt uint32
	// holder is an index in finishedClaims.holders.
	holder uint32
}

// answerHolder is a daemon that stores answers.
type answerHolder struct {
	Daemon  structs.DaemonID
	Address string
}

// finishedClaims holds finished claims by key and ordered by expiry.
type finishedClaims struct {
	byKey  map[keyHash]finishedClaim
	expiry expiryHeap
	// holders lists each daemon once. indexByHolder is its inverse, and
	// claimsByHolder counts the claims of each index.
	holders        []answerHolder
	claimsByHolder []int
	indexByHolder  map[answerHolder]uint32
}

func newFinishedClaims() finishedClaims {
	return finishedClaims{byKey: map[keyHash]finishedClaim{}, indexByHolder: map[answerHolder]uint32{}}
}

func (f *finishedClaims) count() int { return len(f.byKey) }

func (f *finishedClaims) get(hash keyHash) (finishedClaim, bool) {
	known, isFinished := f.byKey[hash]
	return known, isFinished
}

// add records a finished claim.
func (f *finishedClaims) add(claim structs.Claim, command *ClaimFinishCommand) finishedClaim {
	known := finishedClaim{
		digest:    claim.Digest,
		request:   hashRequest(claim.Request),
		answer:    command.AnswerHash,
		bytes:     uint32(min(max(command.AnswerBytes, 0), math.MaxUint32)),
		expiresAt: ceilSeconds(command.ExpiresAt),
		holder:    f.holderIndex(answerHolder{claim.Holder, claim.HolderAddress}),
	}
	f.put(hashKey(claim.Key), known)
	heap.Fix(&f.expiry, len(f.expiry)-1)
	return known
}

// put stores a claim without restoring the heap order of expiry.
func (f *finishedClaims) put(hash keyHash, known finishedClaim) {
	f.byKey[hash] = known
	f.claimsByHolder[known.holder]++
	f.expiry = append(f.expiry, expiryEntry{known.expiresAt, hash})
}

// holderIndex returns the index of a holder. A new holder reuses an index without
// claims if there is one.
func (f *finishedClaims) holderIndex(holder answerHolder) uint32 {
	if number, isKnown := f.indexByHolder[holder]; isKnown {
		return number
	}
	for number, claims := range f.claimsByHolder {
		if claims == 0 {
			delete(f.indexByHolder, f.holders[number])
			f.holders[number] = holder
			f.indexByHolder[holder] = uint32(number)
			return uint32(number)
		}
	}
	number := uint32(len(f.holders))
	f.holders = append(f.holders, holder)
	f.claimsByHolder = append(f.claimsByHolder, 0)
	f.indexByHolder[holder] = number
	return number
}

// firstExpiry returns the earliest expiry, and false if there are no claims.
func (f *finishedClaims) firstExpiry() (uint32, bool) {
	if len(f.expiry) == 0 {
		return 0, false
	}
	return f.expiry[0].at, true
}

// removeFirst removes the claim with the earliest expiry. There must be one.
func (f *finishedClaims) removeFirst() (keyHash, finishedClaim) {
	entry := heap.Pop(&f.expiry).(expiryEntry)
	known := f.byKey[entry.key]
	delete(f.byKey, entry.key)
	f.claimsByHolder[known.holder]--
	return entry.key, known
}

// claim converts a finished claim to a structs.Claim.
func (f *finishedClaims) claim(key structs.ClaimKey, known finishedClaim) *structs.Claim {
	holder := f.holders[known.holder]
	return &structs.Claim{
		Key: key, Digest: known.digest, Holder: holder.Daemon, HolderAddress: holder.Address,
		State:     structs.ClaimFinished,
		Answer:    structs.AnswerMark{Bytes: int(known.bytes), Hash: known.answer},
		ExpiresAt: time.Unix(int64(known.expiresAt), 0).UTC(),
	}
}

// ceilSeconds converts a time to Unix seconds, rounded up and clamped to uint32.
func ceilSeconds(at time.Time) uint32 {
	seconds := at.Unix()
	if at.Nanosecond() > 0 {
		seconds++
	}
	return uint32(min(max(seconds, 0), math.MaxUint32))
}
