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

// A key must not reach an upstream, span or log line, wherever in the request it stands.
// Only the body isn't searched: it is forwarded unchanged.
func TestKeyIsNotForwardedOrLogged(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var received []string
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := httputil.DumpRequest(r, true)
		mu.Lock()
		received = append(received, string(b))
		mu.Unlock()
		startAnswer(w, r, "text/plain")
	})
	escaped := strings.ReplaceAll(gw.key, "_", "%5f")
	escapedTwice := strings.ReplaceAll(escaped, "%", "%25")
	header := http.Header{
		"Cookie":              {"key=" + gw.key},
		"X-Api-Key":           {gw.key},
		"X-Request-Id":        {gw.key},
		"User-Agent":          {gw.key},
		"Referer":             {"http://x/?k=" + escaped},
		"Accept":              {gw.key},
		"Content-Type":        {"text/plain; k=" + gw.key},
		"Traceparent":         {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
		"Tracestate":          {"v=" + gw.key},
		"Baggage":             {"k=" + gw.key},
		"Connection":          {"X-Api-Key"},
		"X-Forwarded-For":     {gw.key},
		"Proxy-Authorization": {"Bearer " + gw.key},
	}
	query := url.Values{"q": {"a b%"}, "a": {gw.key}, gw.key: {"b"}}.Encode() + "&c=" + escaped + "&d=" + escapedTwice + "&e=%zz" + escaped + "&f=" + strings.ToUpper(gw.key)
	r, err := gw.post("/services/plain/x?"+query, "b", header)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	g.Expect(received).To(HaveLen(1))
	g.Expect(received[0]).To(ContainSubstring("/x?q=a+b%25 "))
	g.Expect(received[0]).To(ContainSubstring("Traceparent: 00-0af7651916cd43dd8448eb211c80319c"))
	for _, path := range []string{"/services/plain/" + gw.key, "/services/plain/a/" + escaped, "/services/plain/" + escapedTwice} {
		r, err = gw.post(path, "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Code()).To(Equal(result.BodyMalformed))
	}
	g.Expect(received).To(HaveLen(1))
	var spans []string
	for _, s := range gw.g.Tracing.Ring.RequestSpans(r.Header.Get("X-Request-Id")) {
		for _, a := range s.Attrs {
			spans = append(spans, a)
		}
	}
	output := strings.ToLower(strings.Join(append(append(received, spans...), gw.log.String()), "\n"))
	for range 3 {
		g.Expect(output).NotTo(ContainSubstring(gw.key))
		output = strings.NewReplacer("%25", "%", "%5f", "_").Replace(output)
	}
}
