// Package account creates and hashes the keys of client accounts and operators. A key is
// shown once, when it is created. Only its hash is stored and sent to other daemons.
package account

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"
)

// keyBytes is the number of random bytes in a key.
const keyBytes = 20

// Prefix is the beginning of every key. It makes a leaked key easy to recognise.
const Prefix = "ask_"

// NewKey returns a new random key.
func NewKey() string {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand does not fail on supported systems
	}
	return Prefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b))
}

// Hash returns the form in which a key is stored: its SHA-256 in hex. A key has 160 random
// bits, so a slow password hash would not make it safer.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// ID returns the public id of the key with the given hash. Operators use it to withdraw the
// key.
func ID(hash string) string {
	return "k-" + hash[:12]
}

// ValidHash reports whether h has the form that Hash returns.
func ValidHash(h string) bool {
	b, err := hex.DecodeString(h)
	return err == nil && len(b) == sha256.Size
}
