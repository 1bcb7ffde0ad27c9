package takeup

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream: a hash of the client account and of the id of the request that
// brought its first event.
type Key [16]byte

// KeyOf returns the key of the stream that a request of an account began.
func KeyOf(account, request string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + request)) // neither can contain a zero byte
	return Key(sum[:16])
}

// accountHash identifies a client account within a Table.
func accountHash(account string) uint64 { return xxhash.Sum64String(account) }
