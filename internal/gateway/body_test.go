package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// oneConnListener accepts one connection.
type oneConnListener struct{ conns chan net.Conn }

func (l oneConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l oneConnListener) Close() error   { return nil }
func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that sent its body slowly, or without an end, held its request and memory for as
// long as it went on. A handler that runs for longer than bodyTimeout after a complete body
// is not disturbed.
func TestSlowBodyIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int // one a second
		want  result.Code
	}{
		"slow":     {600, result.BodyMalformed},
		"complete": {3, result.OK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				var err, disturbed error
				read := make(chan time.Duration, 1)
				ended := make(chan struct{})
				e := echo.New()
				e.POST("/", func(c echo.Context) error {
					defer close(ended)
					_, err = readBody(c, 1<<20)
					read <- time.Since(began)
					if err == nil {
						time.Sleep(2 * bodyTimeout)
						disturbed = c.Request().Context().Err()
					}
					return c.NoContent(http.StatusOK)
				})
				var wg sync.WaitGroup
				l := oneConnListener{make(chan net.Conn, 1)}
				server := &http.Server{Handler: e}
				wg.Go(func() { _ = server.Serve(l) })
				client, conn := net.Pipe()
				l.conns <- conn
				wg.Go(func() {
					_, werr := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", c.bytes)
					for n := 0; werr == nil && n < c.bytes; n++ {
						time.Sleep(time.Second)
						_, werr = io.WriteString(client, "x")
					}
				})
				wg.Go(func() { _, _ = io.Copy(io.Discard, client) })
				g.Expect(<-read).To(BeNumerically("<=", bodyTimeout))
				<-ended
				g.Expect(result.CodeOf(err)).To(Equal(c.want))
				g.Expect(disturbed).NotTo(HaveOccurred())
				client.Close()
				close(l.conns)
				server.Close()
				wg.Wait()
			})
		})
	}
}
