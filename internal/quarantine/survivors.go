package quarantine

import (
	"sync"
	"time"
)

const (
	// survivorsTTL is how long a request that an upstream has run without a crash counts as
	// sound. It is at most twice as long.
	survivorsTTL = 5 * time.Minute
	// maxSurvivors bounds the requests that are kept for one TTL.
	maxSurvivors = 4096
)

// Survivors keeps the fingerprints of requests that upstreams have lately run without a crash. A
// request that crashes whatever begins to run it is never among them, while many callers may send
// the same sound one, which is in flight at every upstream that crashes for another reason. It may
// be used by many goroutines. The zero value is ready.
type Survivors struct {
	mu            sync.Mutex
	newer, older  map[string]bool
	newerFromTime time.Time
}

// Add records that the request fp was run without a crash.
func (s *Survivors) Add(now time.Time, fp string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if s.newer == nil || len(s.newer) >= maxSurvivors {
		s.older, s.newer, s.newerFromTime = s.newer, map[string]bool{}, now
	}
	s.newer[fp] = true
}

// Has reports whether the request fp was run without a crash lately.
func (s *Survivors) Has(now time.Time, fp string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.newer[fp] || s.older[fp]
}

// expire drops what is older than the TTL.
func (s *Survivors) expire(now time.Time) {
	switch age := now.Sub(s.newerFromTime); {
	case age >= 2*survivorsTTL:
		s.older, s.newer = nil, nil
	case age >= survivorsTTL:
		s.older, s.newer, s.newerFromTime = s.newer, nil, s.newerFromTime.Add(survivorsTTL)
	}
}
