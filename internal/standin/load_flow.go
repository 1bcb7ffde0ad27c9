package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
)

// Flow is what one client account sends to one service. An account may have
// several flows: its mix.
type Flow struct {
	Account     string
	Key         string
	Weight      float64 // of the account, as in the service document
	Rate        float64 // requests a second
	Service     string
	TokenLimit  int           // longest completion; 0 for calls of a plain service
	Path        string        // of a plain service
	Timeout     time.Duration // asked for with every request; 0 leaves the route's own
	PrefixWords int           // words at the start that requests of the flow share

	run string // sets one load's requests apart from another's
}

// send sends request n to entry and returns when its first token came.
func (f Flow) send(ctx context.Context, c *Caller, entry string, n int) (Reply, time.Time, error) {
	h := http.Header{}
	if f.Timeout > 0 {
		h.Set("X-Timeout-Ms", fmt.Sprint(f.Timeout.Milliseconds()))
	}
	if f.TokenLimit == 0 {
		h.Set("Idempotency-Key", f.mark(n))
		r, err := c.once(ctx, entry, http.MethodPost, "/services/"+f.Service+f.Path, []byte(f.mark(n)), h)
		return r, time.Time{}, err
	}
	var first time.Time
	c.onChunk = func() {
		if first.IsZero() {
			first = time.Now()
		}
	}
	body := engine.CompletionRequest{Model: f.Service, Messages: f.messages(n), MaxTokens: f.TokenLimit, Stream: true}
	b, err := json.Marshal(body)
	if err != nil {
		return Reply{}, first, err
	}
	r, err := c.once(ctx, entry, http.MethodPost, "/services/"+f.Service+engine.CompletionsPath, b, h)
	return r, first, err
}

// mark makes request n of the flow unlike any other.
func (f Flow) mark(n int) string {
	return fmt.Sprintf("%s-%s-%s-%d", f.Account, f.Service, f.run, n)
}

func (f Flow) messages(n int) json.RawMessage {
	prompt := strings.Repeat(f.Account+" ", f.PrefixWords) + f.mark(n)
	b, _ := json.Marshal([]message{{Role: "user", Content: prompt}})
	return b
}

// tokens is what a reply used: one cost unit for a plain call.
func (f Flow) tokens(r Reply) int {
	if f.TokenLimit == 0 {
		return 1
	}
	return len(strings.Fields(r.Text))
}

// belongs checks that r answers request n, whole: a plain stand-in returns the
// body, and an engine's length follows from the prompt and the request id.
func (f Flow) belongs(r Reply, n int) bool {
	if f.TokenLimit == 0 {
		var a PlainResponse
		return json.Unmarshal(r.Body, &a) == nil && a.Body == f.mark(n)
	}
	q := engine.CompletionRequest{Messages: f.messages(n), MaxTokens: f.TokenLimit}
	return f.tokens(r) == length(q, r.Header.Get(forward.HeaderRequestID))
}
