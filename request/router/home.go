package router

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// keySeparator ends the name of a zone at the start of a key.
const keySeparator = ":"

// HomeZone returns the zone that decides about an idempotency key: the one named
// before the key's first colon if it is one of zones, otherwise the zone with the
// highest hash of zone and key, so that a new zone takes over only its share.
// Every router must have the same zones.
func HomeZone(zones []structs.ZoneID, key string) structs.ZoneID {
	prefix, _, found := strings.Cut(key, keySeparator)
	var home structs.ZoneID
	highest := uint64(0)
	for _, zone := range zones {
		if found && string(zone) == prefix {
			return zone
		}
		hash := xxhash.Sum64String(string(zone) + "\x00" + key)
		if home == "" || hash > highest || (hash == highest && zone < home) {
			home, highest = zone, hash
		}
	}
	return home
}

// callerSeparator stands between the caller and its key in a claim's key. No
// caller's name has it.
const callerSeparator = "/"

// claimKey is the key of the claim for a request: two callers that choose the
// same idempotency key have claims of their own, in the same home zone.
func claimKey(request structs.Request) structs.ClaimKey {
	return structs.ClaimKey(request.Caller + callerSeparator + request.IdempotencyKey)
}

// HomeOfClaim returns the zone that decides about the key of a claim.
func HomeOfClaim(zones []structs.ZoneID, key structs.ClaimKey) structs.ZoneID {
	_, own, _ := strings.Cut(string(key), callerSeparator)
	return HomeZone(zones, own)
}

// embeddingMark tells the digest of a request for an embedding from others.
const embeddingMark = 1

// RequestDigest hashes what a request asks for, so that another request under the
// same key is noticed.
func RequestDigest(request structs.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Row))
	_, _ = digest.Write([]byte{0, byte(request.MaxTokens), byte(request.MaxTokens >> 8), byte(request.MaxTokens >> 16), byte(request.MaxTokens >> 24)})
	if request.Embedding {
		_, _ = digest.Write([]byte{embeddingMark})
	}
	if request.Sampling != nil {
		// A Sampling of finite numbers and texts is always encoded.
		sampling, _ := json.Marshal(request.Sampling)
		_, _ = digest.Write(sampling)
	}
	_, _ = digest.WriteString(request.Prompt)
	return digest.Sum64()
}
