package standin

import (
	"net/http"
	"sync"
	"time"
)

// Misbehaviour is how a receiver of orders or reports fails on request.
type ResponseFaults struct {
	FailEvery int           `long:"fail-every" description:"answer every Nth request with an error, without taking it"`
	LoseEvery int           `long:"lose-every" description:"take every Nth request and lose its answer"`
	Delay     time.Duration `long:"delay" description:"answer this late"`

	mu    sync.Mutex
	count int64
}

// around applies the misbehaviour to the requests that h takes.
func (m *ResponseFaults) around(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		m.count++
		n := m.count
		m.mu.Unlock()
		if every(m.FailEvery, n) {
			http.Error(w, "out of order on request", http.StatusServiceUnavailable)
			return
		}
		if every(m.LoseEvery, n) {
			h(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		h(w, r)
		time.Sleep(m.Delay)
	}
}

// discard drops a response instead of sending it.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}
