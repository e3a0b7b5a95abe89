package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// HashPrefix begins every hash of an API key.
	HashPrefix = "sha256:"
	// keyPrefix begins every API key, so that one is known when it is seen in a log.
	keyPrefix = "lfk_"
	keyBytes  = 32
)

// Hash is the SHA-256 hash of an API key.
type Hash [sha256.Size]byte

// String returns the hash as the settings file holds it.
func (h Hash) String() string { return HashPrefix + hex.EncodeToString(h[:]) }

// NewAPIKey makes a random key of 256 bits.
func NewAPIKey() (string, Hash) {
	var secret [keyBytes]byte
	rand.Read(secret[:]) // never fails: crypto/rand ends the program instead
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return key, HashAPIKey(key)
}

// ParseAPIKey reads the content of a key file. Its error has the kind invalid.
func ParseAPIKey(content string) (string, error) {
	key := strings.TrimSpace(content)
	secret, found := strings.CutPrefix(key, keyPrefix)
	decoded, err := base64.RawURLEncoding.DecodeString(secret)
	if !found || err != nil || len(decoded) != keyBytes {
		return "", structs.NewError(structs.ErrorInvalid,
			"the file holds no API key",
			"Name the file that `lotusferryctl keys operator` wrote; a key begins with "+keyPrefix+".")
	}
	return key, nil
}

// HashAPIKey returns the hash of a key.
func HashAPIKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash reads what Hash.String wrote. Its error has the kind invalid.
func ParseHash(text string) (Hash, error) {
	digits, found := strings.CutPrefix(text, HashPrefix)
	content, err := hex.DecodeString(digits)
	if !found || err != nil || len(content) != sha256.Size {
		return Hash{}, structs.NewError(structs.ErrorInvalid,
			"the hash of an API key cannot be read",
			"Copy the whole hash, which begins with "+HashPrefix+".")
	}
	return Hash(content), nil
}

// Entry is one key that a Keyring accepts.
type Entry struct {
	Name string
	Hash Hash
}

// Keyring tells whose key was presented.
type Keyring struct{ entries []Entry }

// NewKeyring returns a Keyring of the entries.
func NewKeyring(entries []Entry) *Keyring {
	return &Keyring{entries: append([]Entry(nil), entries...)}
}

// Lookup returns the name of the key's owner. It compares with every entry in
// constant time, so that its duration tells nothing about the hashes.
func (k *Keyring) Lookup(key string) (string, bool) {
	presented := HashAPIKey(key)
	owner := -1
	for index, entry := range k.entries {
		match := subtle.ConstantTimeCompare(presented[:], entry.Hash[:])
		owner = subtle.ConstantTimeSelect(match, index, owner)
	}
	if owner < 0 {
		return "", false
	}
	return k.entries[owner].Name, true
}
