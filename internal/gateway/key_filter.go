package gateway

import (
	"net/url"
	"strings"

	"github.com/apricotstream/apricotstream/internal/account"
)

// maxDecodingRounds bounds the rounds of percent-decoding in the search for a key.
const maxDecodingRounds = 4

// containsKey reports whether s contains the prefix of a key, also under several rounds
// of percent-encoding. A string with an invalid escape is only decoded where that could
// hide a key. A string that is still encoded after maxDecodingRounds counts as containing
// a key.
func containsKey(s string) bool {
	for range maxDecodingRounds {
		if strings.Contains(strings.ToLower(s), account.Prefix) {
			return true
		}
		next, err := url.QueryUnescape(s)
		if err != nil {
			// An invalid escape elsewhere must not hide a key.
			next = strings.NewReplacer("%5f", "_", "%5F", "_", "%25", "%").Replace(s)
		}
		if next == s {
			return false
		}
		s = next
	}
	return true // more rounds of encoding than a valid request has
}

// emptyIfKey returns s, or the empty string if s contains a key.
func emptyIfKey(s string) string {
	if containsKey(s) {
		return ""
	}
	return s
}

// queryWithoutKeys returns a raw query without the parameters that contain a key.
func queryWithoutKeys(raw string) string {
	if !containsKey(raw) {
		return raw
	}
	var kept []string
	for _, parameter := range strings.Split(raw, "&") {
		if !containsKey(parameter) {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}
