package httpclient

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

// Guards against a request on a connection whose last response had an invalid head: what follows
// that head may be a part of the response.
func TestConnectionOfAnInvalidHeadIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	senders := map[string]int{}
	s := testkit.ServeRaw(t, func(c *net.TCPConn, r *http.Request) {
		mu.Lock()
		senders[c.RemoteAddr().String()]++
		mu.Unlock()
		status := "200 OK"
		if r.URL.Path == "/invalid" {
			status = "000 Trouble"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
	})
	transport := &Transport{&http.Transport{}}
	defer transport.CloseIdleConnections()
	for _, path := range []string{"/", "/", "/invalid", "/", "/"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address+path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := transport.RoundTrip(req)
		if path == "/invalid" {
			g.Expect(err).To(MatchError(ErrInvalidHead))
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(senders).To(HaveLen(2), "connections: one with the first three requests, one with the others")
}
