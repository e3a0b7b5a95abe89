package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of a Digest in bytes. It makes collisions infeasible.
const digestSize = 16

// Digest identifies the content of a request, so that a repeated request is recognized, or a part of a prompt, so that
// requests with the same part are. It reveals neither the caller nor the content.
type Digest [digestSize]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Content is the part of a request that identifies it.
type Content struct {
	// Caller is the caller as authenticated by a key; empty if unauthenticated. The client address
	// is not included, since it may change.
	Caller string
	Method string
	Host   string
	// URI is the path with the query, as received.
	URI  string
	Body []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	hash := sha256.New()
	for _, part := range []string{c.Caller, c.Method, c.Host, c.URI} {
		// Length prefixes keep the parts apart.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(c.Body)
	return Digest(hash.Sum(nil)[:digestSize])
}

// partPrefix keeps the digests of parts apart from those of contents, which begin with the length of the caller's name.
const partPrefix = "\xffprompt part:"

// PartDigest returns the digest of a part of a prompt, which has the given ID. It is the same for all callers, models and
// routes.
func PartDigest(id string) Digest {
	sum := sha256.Sum256([]byte(partPrefix + id))
	return Digest(sum[:digestSize])
}
