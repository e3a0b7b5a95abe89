package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of a Digest in bytes: enough that nobody can make another
// request with the same one.
const digestSize = 16

// Digest names what a request asks for, so that it is known when it comes again. Neither the
// caller nor the content can be told from it.
type Digest [digestSize]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Content is what makes two requests the same.
type Content struct {
	// Caller is who asks, as far as that is proved by a key; empty for nobody. The address
	// that a request came from is no part: the same caller may come from another.
	Caller string
	Method string
	Host   string
	// URI is the path with the query, as it was sent.
	URI  string
	Body []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	hash := sha256.New()
	for _, part := range []string{c.Caller, c.Method, c.Host, c.URI} {
		// Lengths keep parts apart.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(c.Body)
	return Digest(hash.Sum(nil)[:digestSize])
}
