package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/membudget"
)

// FuzzNotice guards against a notice whose method or parameters are not those that were sent.
func FuzzNotice(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","method":"a","params":{}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"a","params":{},"method":"b","params":1}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"\u0061","params":}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		method, params, ok := parseNotice(b)
		if !ok {
			return
		}
		if again := noticeStart + method + noticeParams + string(params) + noticeEnd; again != string(b) {
			t.Fatalf("%q became %q", b, again)
		}
		if bytes.ContainsAny([]byte(method), `"\\`) {
			t.Fatalf("%q: method %q", b, method)
		}
	})
}

// FuzzFramesInPieces guards against frames that depend on how their bytes arrive, and against memory
// that stays held after a connection has ended.
func FuzzFramesInPieces(f *testing.F) {
	large := frames(`{"jsonrpc":"2.0","method":"a","params":"` + string(bytes.Repeat([]byte("x"), 100<<10)) + `"}`)
	f.Add([]byte(frames(`{"jsonrpc":"2.0","method":"a","params":{}}`, `{"id":1,"result":null}`)))
	f.Add([]byte(large + large))
	f.Add([]byte("Content-Length: 300000\r\n\r\n" + large))
	f.Add([]byte("content-length:5\nX: y\n\n[1,2]Content-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, _ := readAllFrames(t, bytes.NewReader(b))
		pieces, err := readAllFrames(t, iotest.HalfReader(iotest.DataErrReader(bytes.NewReader(b))))
		if len(whole) != len(pieces) {
			t.Fatalf("%d objects at once, %d in pieces (%v)", len(whole), len(pieces), err)
		}
		for i := range whole {
			if !bytes.Equal(whole[i], pieces[i]) {
				t.Fatalf("object %d differs", i)
			}
		}
	})
}

// readAllFrames returns what a guarded connection carries.
func readAllFrames(t *testing.T, r io.Reader) (all [][]byte, err error) {
	budget := membudget.New(1 << 20)
	g := NewGuard(1, budget, log.New(io.Discard))
	c := &stubConn{in: r}
	g.open(c)
	s := newStream(c, func(method string, params json.RawMessage) { all = append(all, append([]byte(method), params...)) })
	s.guard = g
	for {
		var v json.RawMessage
		if err = s.ReadObject(&v); err != nil {
			break
		}
		all = append(all, v)
	}
	g.ended(c)
	if n := budget.Used(); n != 0 {
		t.Fatalf("%d bytes stay held", n)
	}
	return all, err
}

// FuzzOpening guards against a server that ends or hangs because of the first bytes of a connection.
func FuzzOpening(f *testing.F) {
	f.Add([]byte("Relay: 127.0.0.1:1\r\n"))
	f.Add([]byte("Rel"))
	f.Add([]byte(frames(`{"jsonrpc":"2.0","method":"peer.Hello","params":{}}`, `{"jsonrpc":"2.0","id":1,"method":"none"}`)))
	f.Add([]byte(frames(`[{"jsonrpc":"2.0","id":1,"method":"none"},{"id":null}]`)))
	f.Add([]byte(frames(`{"jsonrpc":"2.0","id":1,"error":{"code":1,"data":{"code":204}}}`)))
	f.Fuzz(func(t *testing.T, b []byte) {
		here, there := net.Pipe()
		guard := NewGuard(2, membudget.New(1<<20), log.New(io.Discard))
		s := NewServer()
		s.Protect(guard)
		s.HandleOther("Relay: ", func(_ net.Conn, in *bufio.Reader, admit func() bool) {
			if first, err := in.Peek(1); err != nil || first[0] != 'R' || !admit() {
				t.Errorf("begins with %q (%v)", first, err)
			}
		})
		s.serveConn(t.Context(), here)
		go func() { _, _ = io.Copy(io.Discard, there) }()
		_ = there.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := there.Write(b); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the server does not read on")
		}
		there.Close()
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			guard.mu.Lock()
			left := len(guard.table.connections)
			guard.mu.Unlock()
			if left == 0 && guard.budget.Used() == 0 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d connections and %d bytes are left", left, guard.budget.Used())
			}
		}
	})
}

// FuzzError guards against an error of another daemon that is taken for a success.
func FuzzError(f *testing.F) {
	f.Add("failed", []byte(`{"code":204,"message":"busy"}`))
	f.Add("", []byte(`{"code":0}`))
	f.Add("", []byte(`[`))
	f.Fuzz(func(t *testing.T, message string, data []byte) {
		raw := json.RawMessage(data)
		if err := decodeError(&jsonrpc2.Error{Message: message, Data: &raw}); err == nil {
			t.Fatal("no error")
		}
	})
}
