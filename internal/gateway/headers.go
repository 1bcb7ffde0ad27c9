package gateway

import "net/http"

// forwardedHeaderNames are the headers of an upstream's response that are forwarded to
// callers.
var forwardedHeaderNames = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// forwardedHeaders returns the forwarded headers that h contains.
func forwardedHeaders(h http.Header) map[string]string {
	out := map[string]string{}
	for _, k := range forwardedHeaderNames {
		if v := h.Get(k); v != "" {
			out[k] = v
		}
	}
	return out
}
