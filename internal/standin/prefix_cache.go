package standin

import (
	"slices"
	"sync"
	"time"
)

// prefixBytes is the length of a prompt's prefix.
const prefixBytes = 256

// prefixCache is an engine's cache of prompt prefixes with least-recently-used eviction.
type prefixCache struct {
	mu     sync.Mutex
	cached []string // least recently used first
}

// use reports whether the prefix of prompt was cached, and caches it if not. The cache
// keeps at most size prefixes.
func (p *prefixCache) use(prompt string, size int) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.cached, prefix)
	if at >= 0 {
		p.cached = append(slices.Delete(p.cached, at, at+1), prefix)
		return true
	}
	p.cached = append(p.cached, prefix)
	if len(p.cached) > size {
		p.cached = slices.Delete(p.cached, 0, 1)
	}
	return false
}

// prefillTime returns the time that the engine needs to read the prompt: 0 if its prefix
// is cached.
func (u *Upstream) prefillTime(prompt string) time.Duration {
	if u.PrefillTime == 0 || u.prefixes.use(prompt, u.CachedPrefixes) {
		return 0
	}
	return u.PrefillTime
}
