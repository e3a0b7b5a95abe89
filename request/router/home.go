package router

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// keySeparator ends the zone name at the start of a key.
const keySeparator = ":"

// HomeZone returns the zone that decides about an idempotency key: the zone named before
// the first colon of the key if it is one of zones, otherwise the zone with the highest
// hash of zone and key (rendezvous hashing). All routers must use the same zones.
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

// callerSeparator separates the caller from its key in a claim key. Caller names do not
// contain it.
const callerSeparator = "/"

// claimKey returns the claim key of a request. Equal idempotency keys of two callers have
// separate claims in the same home zone.
func claimKey(request structs.Request) structs.ClaimKey {
	return structs.ClaimKey(request.Caller + callerSeparator + request.IdempotencyKey)
}

// HomeOfClaim returns the home zone of a claim key.
func HomeOfClaim(zones []structs.ZoneID, key structs.ClaimKey) structs.ZoneID {
	_, own, _ := strings.Cut(string(key), callerSeparator)
	return HomeZone(zones, own)
}

// embeddingMark distinguishes the digests of embedding requests from others.
const embeddingMark = 1

// RequestDigest returns a hash of the content of a request, which detects the reuse of a
// key for a different request.
func RequestDigest(request structs.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Row))
	_, _ = digest.Write([]byte{0, byte(request.MaxTokens), byte(request.MaxTokens >> 8), byte(request.MaxTokens >> 16), byte(request.MaxTokens >> 24)})
	if request.Embedding {
		_, _ = digest.Write([]byte{embeddingMark})
	}
	if request.Sampling != nil {
		// Encoding finite numbers and strings cannot fail.
		sampling, _ := json.Marshal(request.Sampling)
		_, _ = digest.Write(sampling)
	}
	_, _ = digest.WriteString(request.Prompt)
	return digest.Sum64()
}
