package zone

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// keyHash stands for the key of a finished claim. It is cut from a cryptographic
// hash, so that callers cannot make two keys meet; by chance one of four million
// kept keys meets a new one once in 4e12 new keys, which is then refused.
type keyHash uint64

func hashKey(key structs.ClaimKey) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(binary.BigEndian.Uint64(sum[:]))
}

func hashRequest(request structs.RequestID) uint64 { return uint64(hashKey(structs.ClaimKey(request))) }

// finishedClaim is what is kept whole of a claim that has finished. Times are in
// seconds since 1970, rounded up.
type finishedClaim struct {
	digest    uint64
	request   uint64
	answer    uint64
	bytes     uint32
	expiresAt uint32
	// holder is an index in finishedClaims.holders.
	holder uint32
}

// answerHolder is a daemon that keeps answers.
type answerHolder struct {
	Daemon  structs.DaemonID
	Address string
}

// finishedClaims holds finished claims by key and in the order of their expiry.
type finishedClaims struct {
	byKey  map[keyHash]finishedClaim
	expiry expiryHeap
	// holders names each daemon once; numbers finds it, claims counts its claims.
	holders []answerHolder
	claims  []int
	numbers map[answerHolder]uint32
}

func newFinishedClaims() finishedClaims {
	return finishedClaims{byKey: map[keyHash]finishedClaim{}, numbers: map[answerHolder]uint32{}}
}

func (f *finishedClaims) count() int { return len(f.byKey) }

func (f *finishedClaims) get(hash keyHash) (finishedClaim, bool) {
	known, isFinished := f.byKey[hash]
	return known, isFinished
}

// add takes in a claim that finishes.
func (f *finishedClaims) add(claim structs.Claim, command *ClaimFinishCommand) finishedClaim {
	known := finishedClaim{
		digest:    claim.Digest,
		request:   hashRequest(claim.Request),
		answer:    command.AnswerHash,
		bytes:     uint32(min(max(command.AnswerBytes, 0), math.MaxUint32)),
		expiresAt: secondsUp(command.ExpiresAt),
		holder:    f.number(answerHolder{claim.Holder, claim.HolderAddress}),
	}
	f.put(hashKey(claim.Key), known)
	heap.Fix(&f.expiry, len(f.expiry)-1)
	return known
}

// put keeps a claim without ordering it.
func (f *finishedClaims) put(hash keyHash, known finishedClaim) {
	f.byKey[hash] = known
	f.claims[known.holder]++
	f.expiry = append(f.expiry, expiryEntry{known.expiresAt, hash})
}

// number finds a holder's place, or gives it one that no claim uses.
func (f *finishedClaims) number(holder answerHolder) uint32 {
	if number, isKnown := f.numbers[holder]; isKnown {
		return number
	}
	for number, claims := range f.claims {
		if claims == 0 {
			delete(f.numbers, f.holders[number])
			f.holders[number] = holder
			f.numbers[holder] = uint32(number)
			return uint32(number)
		}
	}
	number := uint32(len(f.holders))
	f.holders = append(f.holders, holder)
	f.claims = append(f.claims, 0)
	f.numbers[holder] = number
	return number
}

// firstExpiry returns when the first claim expires, and false when there is none.
func (f *finishedClaims) firstExpiry() (uint32, bool) {
	if len(f.expiry) == 0 {
		return 0, false
	}
	return f.expiry[0].at, true
}

// removeFirst removes the claim that expires first; there must be one.
func (f *finishedClaims) removeFirst() (keyHash, finishedClaim) {
	entry := heap.Pop(&f.expiry).(expiryEntry)
	known := f.byKey[entry.key]
	delete(f.byKey, entry.key)
	f.claims[known.holder]--
	return entry.key, known
}

// claim returns a finished claim as others see it.
func (f *finishedClaims) claim(key structs.ClaimKey, known finishedClaim) *structs.Claim {
	holder := f.holders[known.holder]
	return &structs.Claim{
		Key: key, Digest: known.digest, Holder: holder.Daemon, HolderAddress: holder.Address,
		State:     structs.ClaimFinished,
		Answer:    structs.AnswerMark{Bytes: int(known.bytes), Hash: known.answer},
		ExpiresAt: time.Unix(int64(known.expiresAt), 0).UTC(),
	}
}

// secondsUp returns a time in seconds since 1970, rounded up and kept in range.
func secondsUp(at time.Time) uint32 {
	seconds := at.Unix()
	if at.Nanosecond() > 0 {
		seconds++
	}
	return uint32(min(max(seconds, 0), math.MaxUint32))
}
