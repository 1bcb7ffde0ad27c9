package ratecap

import (
	"testing"
	"time"
)

// Guards against more requests to a cold upstream in a second than its bound allows when the
// bucket was idle before, a new leader has another one, and daemons use tokens as late as they
// may; and against background work that takes tokens that callers ask for.
func TestTokensOfAColdUpstreamFitItsBound(t *testing.T) {
	for _, rate := range []float64{1, 14, 200} {
		for _, changeAt := range []int{10_001, 10_300, 12_000} {
			s, c := NewIssuer(), Cap{}.whileCold(epoch, rate, 1, false)
			s.Acquire(epoch, "u", c, ForCaller)
			var issued [ForControl][]int
			for ms := 10_000; ms < 14_000; ms++ {
				if ms == changeAt {
					s = NewIssuer()
				}
				for _, p := range []Purpose{ForBackground, ForCaller} {
					if ok, _ := s.Acquire(epoch.Add(time.Duration(ms)*time.Millisecond), "u", c, p); ok {
						issued[p] = append(issued[p], ms)
					}
				}
			}
			all := append(issued[ForCaller], issued[ForBackground]...)
			for _, from := range all {
				n := 0
				for _, ms := range all {
					if ms >= from && ms < from+1000+int(ColdTokenTTL.Milliseconds()) {
						n++
					}
				}
				if float64(n) > 1.5*rate+5 {
					t.Fatalf("%d tokens that can be used within a second, at a bound of %g, with a new leader at %d ms", n, rate, changeAt)
				}
			}
			if len(issued[ForBackground]) > 4 || float64(len(issued[ForCaller])) < 3*rate {
				t.Errorf("at a bound of %g: %d for background work, %d for callers", rate, len(issued[ForBackground]), len(issued[ForCaller]))
			}
		}
	}
}
