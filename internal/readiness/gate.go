package readiness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

var (
	heldRequests = func(outcome string) *metrics.Counter {
		return metrics.GetOrCreateCounter(`apricotstream_held_requests_total{outcome="` + outcome + `"}`)
	}
	heldSeconds = metrics.NewHistogram("apricotstream_held_request_seconds")
)

// Outcomes of held requests.
const (
	outcomeServed  = "served" // what the request lacked has become known
	outcomeRefused = "refused"
	outcomeLeft    = "left" // the caller has disconnected, or the entry has stopped
)

// Gate holds requests. It may be used by many goroutines.
type Gate struct {
	log  *log.Logger
	held atomic.Int64

	mu      sync.Mutex
	changed chan struct{} // closed by Notify
}

// NewGate returns a Gate that logs one line for each request that it has held.
func NewGate(logger *log.Logger) *Gate { return &Gate{log: logger, changed: make(chan struct{})} }

// Notify makes all held requests look at their situation again.
func (g *Gate) Notify() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gate) next() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Await holds the request with the given id as long as Decide says so, and returns the last
// verdict, which is not Hold. look returns the situation without the fields that the gate knows;
// Waiting is set there if the request was held before for something else. When ctx ends, the
// verdict is to refuse.
func (g *Gate) Await(ctx context.Context, id string, look func() Situation) Verdict {
	began, waiting := time.Now(), false
	for {
		changed := g.next() // before look, so that no change is missed
		s := look()
		s.Now, s.Waiting, s.Held = time.Now(), waiting || s.Waiting, int(g.held.Load())
		v := Decide(s)
		if v.Action != Hold {
			if waiting {
				g.finish(id, s, v, began, map[Action]string{Proceed: outcomeServed, Refuse: outcomeRefused}[v.Action])
			}
			return v
		}
		if !waiting {
			if g.held.Add(1) > MaxHeld { // others have been held since look
				g.held.Add(-1)
				return Verdict{Action: Refuse, Reason: "too many requests are held"}
			}
			defer g.held.Add(-1)
			waiting = true
		}
		timer := time.NewTimer(time.Until(v.Until))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			v = Verdict{Action: Refuse, Reason: "the caller has left"}
			g.finish(id, s, v, began, outcomeLeft)
			return v
		}
		timer.Stop()
	}
}

// finish counts and logs the end of a wait.
func (g *Gate) finish(id string, s Situation, v Verdict, began time.Time, outcome string) {
	waited := time.Since(began)
	heldRequests(outcome).Inc()
	heldSeconds.Update(waited.Seconds())
	d := s.Deployment
	g.log.Info("Request was held.", "request", id, "for", s.Need, "outcome", outcome, "waited_ms", waited.Milliseconds(), "left_ms", time.Until(s.Deadline).Milliseconds(),
		"up_ms", s.Now.Sub(s.Started).Milliseconds(), "reached", !d.ReachedAt.IsZero(), "entries", d.Entries, "established", d.Established, "refusing", d.Seeds.Refused, "reason", v.Reason)
}
