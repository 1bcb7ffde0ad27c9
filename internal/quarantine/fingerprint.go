package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// Fingerprint returns a hash that identifies a request by its service, account, route and
// body, independent of its request id.
func Fingerprint(service, account, route string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{service, account, route} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
