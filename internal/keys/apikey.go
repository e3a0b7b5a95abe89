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
	// HashPrefix is the prefix of API key hashes.
	HashPrefix = "sha256:"
	// keyPrefix is the prefix of API keys, which makes leaked keys easy to recognize.
	keyPrefix = "lfk_"
	keyBytes  = 32
)

// Hash is the SHA-256 hash of an API key.
type Hash [sha256.Size]byte

// String returns the hash in the format of the settings file.
func (h Hash) String() string { return HashPrefix + hex.EncodeToString(h[:]) }

// NewAPIKey returns a random 256-bit key and its hash.
func NewAPIKey() (string, Hash) {
	var secret [keyBytes]byte
	rand.Read(secret[:]) // never returns an error: crypto/rand crashes the program instead
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return key, HashAPIKey(key)
}

// ParseAPIKey parses the content of a key file. Its error has the kind invalid.
func ParseAPIKey(content string) (string, error) {
	key := strings.TrimSpace(content)
	secret, found := strings.CutPrefix(key, keyPrefix)
	decoded, err := base64.RawURLEncoding.DecodeString(secret)
	if !found || err != nil || len(decoded) != keyBytes {
		return "", structs.NewError(structs.ErrorInvalid,
			"the file does not contain an API key",
			"Set the file that `lotusferryctl keys operator` wrote; a key begins with "+keyPrefix+".")
	}
	return key, nil
}

// HashAPIKey returns the hash of key.
func HashAPIKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash parses the output of Hash.String. Its error has the kind invalid.
func ParseHash(text string) (Hash, error) {
	digits, found := strings.CutPrefix(text, HashPrefix)
	content, err := hex.DecodeString(digits)
	if !found || err != nil || len(content) != sha256.Size {
		return Hash{}, structs.NewError(structs.ErrorInvalid,
			"the hash of an API key is malformed",
			"Copy the whole hash, which begins with "+HashPrefix+".")
	}
	return Hash(content), nil
}

// Entry is an API key in a Keyring.
type Entry struct {
	Name string
	Hash Hash
}

// Keyring looks up the owners of API keys.
type Keyring struct{ entries []Entry }

// NewKeyring returns a Keyring of the entries.
func NewKeyring(entries []Entry) *Keyring {
	return &Keyring{entries: append([]Entry(nil), entries...)}
}

// Lookup returns the name of the key's owner. It compares all entries in constant time
// to prevent timing attacks.
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
