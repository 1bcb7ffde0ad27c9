package standin

import (
	"net/http"
	"sync"
	"time"
)

// ResponseFaults holds the faults that can be injected into the responses of a receiver of
// orders or reports.
type ResponseFaults struct {
	FailEvery int           `long:"fail-every" description:"answer every Nth request with an error, without taking it"`
	LoseEvery int           `long:"lose-every" description:"take every Nth request and lose its answer"`
	Delay     time.Duration `long:"delay" description:"answer this late"`

	mu    sync.Mutex
	count int64 // requests so far
}

// wrap returns a handler that injects the faults into the requests and responses of h.
func (f *ResponseFaults) wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.count++
		n := f.count
		f.mu.Unlock()
		if isNth(f.FailEvery, n) {
			http.Error(w, "injected fault", http.StatusServiceUnavailable)
			return
		}
		if isNth(f.LoseEvery, n) {
			h(&discardResponseWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		h(w, r)
		time.Sleep(f.Delay)
	}
}

// discardResponseWriter discards the response.
type discardResponseWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardResponseWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardResponseWriter) WriteHeader(int) {}
