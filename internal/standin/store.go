package standin

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// Store is a fake weight store. All its readers share one rate limit.
type Store struct {
	limit *rate.Limiter
	size  int // bytes of one weight version
}

// storeChunk is the number of bytes that are sent at once, and the burst of the rate limit.
const storeChunk = 64 << 10

// NewStore returns a store that serves weight versions of size bytes at bytesPerSecond.
func NewStore(size, bytesPerSecond int) *Store {
	return &Store{limit: rate.NewLimiter(rate.Limit(bytesPerSecond), storeChunk), size: size}
}

// Handler returns the store's route.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{service}/{version}", func(w http.ResponseWriter, r *http.Request) {
		s.send(r.Context(), w)
	})
	return mux
}

// send writes one weight version to w within the rate limit. It returns early if ctx ends
// or a write fails.
func (s *Store) send(ctx context.Context, w http.ResponseWriter) {
	buf := make([]byte, storeChunk)
	for left := s.size; left > 0; left -= storeChunk {
		n := min(left, storeChunk)
		if s.limit.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}
