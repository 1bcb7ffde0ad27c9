package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/membudget"
)

// pipeListener accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests guards against bytes of a caller after which memory stays held or a connection stays in
// the table.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT: v\r\n\r\nGET"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nab"))
	f.Add([]byte("\r\n\r\n\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		here, there := net.Pipe()
		budget := membudget.New(1 << 20)
		guard := NewGuard("fuzz", 1, budget, log.New(io.Discard))
		s := &http.Server{ErrorLog: log.New(io.Discard).StandardLog(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // its outcome is that of the caller's bytes
		})}
		conns := make(chan net.Conn, 1)
		conns <- here
		go s.Serve(guard.Protect(s, pipeListener{conns}))
		go func() { _, _ = io.Copy(io.Discard, there) }()
		_, _ = there.Write(b) // fails when the server closes the connection
		there.Close()
		defer close(conns)
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			guard.mu.Lock()
			left := guard.table.Len()
			guard.mu.Unlock()
			if left == 0 && budget.Used() == 0 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d connections and %d bytes are left", left, budget.Used())
			}
		}
	})
}

// FuzzCharge guards against a charge for a head that depends on the pieces in which it arrives.
func FuzzCharge(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nX: y\r\n\r\n"), 3)
	f.Add(bytes.Repeat([]byte("\n"), 10), 5)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		if at < 0 || at > len(b) {
			return
		}
		if whole, parts := charge(b), charge(b[:at])+charge(b[at:]); whole != parts || whole < int64(len(b)) {
			t.Fatalf("%d at once, %d in pieces", whole, parts)
		}
	})
}
