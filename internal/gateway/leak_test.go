package gateway

import (
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// A key reaches no upstream, span or log line, wherever its caller put it. The
// body is the caller's own and passes unread.
func TestKeyStaysAtTheEntry(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var seen []string
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := httputil.DumpRequest(r, true)
		mu.Lock()
		seen = append(seen, string(b))
		mu.Unlock()
		ownAnswer(w, r, "text/plain")
	})
	escaped := strings.ReplaceAll(e.key, "_", "%5f")
	twice := strings.ReplaceAll(escaped, "%", "%25")
	header := http.Header{
		"Cookie":              {"key=" + e.key},
		"X-Api-Key":           {e.key},
		"X-Request-Id":        {e.key},
		"User-Agent":          {e.key},
		"Referer":             {"http://x/?k=" + escaped},
		"Accept":              {e.key},
		"Content-Type":        {"text/plain; k=" + e.key},
		"Traceparent":         {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
		"Tracestate":          {"v=" + e.key},
		"Baggage":             {"k=" + e.key},
		"Connection":          {"X-Api-Key"},
		"X-Forwarded-For":     {e.key},
		"Proxy-Authorization": {"Bearer " + e.key},
	}
	query := url.Values{"q": {"a b%"}, "a": {e.key}, e.key: {"b"}}.Encode() + "&c=" + escaped + "&d=" + twice + "&e=%zz" + escaped + "&f=" + strings.ToUpper(e.key)
	r, err := e.post("/services/plain/x?"+query, "b", header)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	g.Expect(seen).To(HaveLen(1))
	g.Expect(seen[0]).To(ContainSubstring("/x?q=a+b%25 "))
	g.Expect(seen[0]).To(ContainSubstring("Traceparent: 00-0af7651916cd43dd8448eb211c80319c"))
	for _, path := range []string{"/services/plain/" + e.key, "/services/plain/a/" + escaped, "/services/plain/" + twice} {
		r, err = e.post(path, "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Code()).To(Equal(result.BodyMalformed))
	}
	g.Expect(seen).To(HaveLen(1))
	var spans []string
	for _, s := range e.g.Tracing.Ring.RequestSpans(r.Header.Get("X-Request-Id")) {
		for _, a := range s.Attrs {
			spans = append(spans, a)
		}
	}
	everything := strings.ToLower(strings.Join(append(append(seen, spans...), e.log.String()), "\n"))
	for range 3 {
		g.Expect(everything).NotTo(ContainSubstring(e.key))
		everything = strings.NewReplacer("%25", "%", "%5f", "_").Replace(everything)
	}
}
