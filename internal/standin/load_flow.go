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

// Flow describes the requests of one client account to one service. An account may have
// several flows.
type Flow struct {
	Account     string
	Key         string
	Weight      float64 // of the account, as in the service document
	Rate        float64 // requests a second
	Service     string
	TokenLimit  int           // maximum tokens of a completion; 0 for requests to a plain service
	Path        string        // of a plain service
	Timeout     time.Duration // timeout header of every request; 0 for the timeout of the route
	PrefixWords int           // number of words at the start of the prompt that all requests of the flow share

	runID string // distinguishes the requests of different loads
}

// send sends request n to entry. It returns the reply and the time at which the first token
// arrived, which is zero for a plain service.
func (f Flow) send(ctx context.Context, c *Caller, entry string, n int) (Reply, time.Time, error) {
	h := http.Header{}
	if f.Timeout > 0 {
		h.Set("X-Timeout-Ms", fmt.Sprint(f.Timeout.Milliseconds()))
	}
	if f.TokenLimit == 0 {
		h.Set("Idempotency-Key", f.marker(n))
		r, err := c.sendTo(ctx, entry, http.MethodPost, "/services/"+f.Service+f.Path, []byte(f.marker(n)), h)
		return r, time.Time{}, err
	}
	var firstToken time.Time
	c.onChunk = func() {
		if firstToken.IsZero() {
			firstToken = time.Now()
		}
	}
	body := engine.CompletionRequest{Model: f.Service, Messages: f.messages(n), MaxTokens: f.TokenLimit, Stream: true}
	b, err := json.Marshal(body)
	if err != nil {
		return Reply{}, firstToken, err
	}
	r, err := c.sendTo(ctx, entry, http.MethodPost, "/services/"+f.Service+engine.CompletionsPath, b, h)
	return r, firstToken, err
}

// marker returns a text that identifies request n of the flow. It is the idempotency key
// and the body of a request to a plain service, and the end of a prompt.
func (f Flow) marker(n int) string {
	return fmt.Sprintf("%s-%s-%s-%d", f.Account, f.Service, f.runID, n)
}

// messages returns the chat messages of request n.
func (f Flow) messages(n int) json.RawMessage {
	prompt := strings.Repeat(f.Account+" ", f.PrefixWords) + f.marker(n)
	b, _ := json.Marshal([]message{{Role: "user", Content: prompt}})
	return b
}

// tokens returns the number of tokens of a reply. A request to a plain service counts as
// one cost unit, so the number is 1.
func (f Flow) tokens(r Reply) int {
	if f.TokenLimit == 0 {
		return 1
	}
	return len(strings.Fields(r.Text))
}

// matches reports whether r is the complete response to request n. A fake plain service
// returns the request body, and the length of a fake engine's completion follows from the
// prompt and the request id.
func (f Flow) matches(r Reply, n int) bool {
	if f.TokenLimit == 0 {
		var response PlainResponse
		return json.Unmarshal(r.Body, &response) == nil && response.Body == f.marker(n)
	}
	q := engine.CompletionRequest{Messages: f.messages(n), MaxTokens: f.TokenLimit}
	return f.tokens(r) == completionTokens(q, r.Header.Get(forward.HeaderRequestID))
}
