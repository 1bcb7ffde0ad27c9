package standin

import (
	"slices"
	"sync"
	"time"
)

// prefixBytes is how much of a prompt counts as its prefix.
const prefixBytes = 256

// prefixCache is an engine's cache of prompt prefixes, the least recently used
// one dropped first.
type prefixCache struct {
	mu     sync.Mutex
	cached []string // oldest first
}

// use reports whether the prefix of prompt is cached; it is from then on.
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

// prefill is the time that reading the prompt takes.
func (u *Upstream) prefill(prompt string) time.Duration {
	if u.PrefillTime == 0 || u.prefixes.use(prompt, u.CachedPrefixes) {
		return 0
	}
	return u.PrefillTime
}
