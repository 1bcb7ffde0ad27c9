package gateway

import (
	"net/url"
	"strings"

	"github.com/apricotstream/apricotstream/internal/account"
)

// maxDecoding bounds the rounds of percent-decoding in which a key is sought.
const maxDecoding = 4

// carriesKey reports whether s holds something that looks like a key, also
// under several rounds of percent-encoding. What cannot be decoded further is
// checked without unescaping it.
func carriesKey(s string) bool {
	for range maxDecoding {
		if strings.Contains(strings.ToLower(s), account.Prefix) {
			return true
		}
		next, err := url.QueryUnescape(s)
		if err != nil {
			// A broken escape elsewhere must not hide a key.
			next = strings.NewReplacer("%5f", "_", "%5F", "_", "%25", "%").Replace(s)
		}
		if next == s {
			return false
		}
		s = next
	}
	return true // encoded deeper than any honest caller does
}

// withoutKey returns s, or nothing when it carries a key.
func withoutKey(s string) string {
	if carriesKey(s) {
		return ""
	}
	return s
}

// safeQuery drops parameters that carry a key.
func safeQuery(raw string) string {
	if !carriesKey(raw) {
		return raw
	}
	var keep []string
	for _, p := range strings.Split(raw, "&") {
		if !carriesKey(p) {
			keep = append(keep, p)
		}
	}
	return strings.Join(keep, "&")
}
