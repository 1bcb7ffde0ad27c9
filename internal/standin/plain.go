package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/forward"
)

// Plain is an ordinary service. It answers with what it received, so that
// callers can check that an answer is theirs and that no key came through.
type Plain struct {
	*Upstream
}

// PlainAnswer is the body of every answer.
type PlainResponse struct {
	Upstream  string              `json:"upstream"`
	RunNumber int64               `json:"run"` // number of this run at this upstream
	Path      string              `json:"path"`
	Query     string              `json:"query,omitempty"`
	Body      string              `json:"body"`
	Headers   map[string][]string `json:"headers"`
}

// Handler returns the service's routes.
func (p Plain) Handler() http.Handler {
	return http.HandlerFunc(p.answer)
}

func (p Plain) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n, leave, ok := p.enter(r.Context(), string(body))
	if !ok {
		return
	}
	defer leave()
	wait := p.TokenTime
	if every(p.SlowEvery, n) {
		wait *= 10
	}
	time.Sleep(wait)
	id := r.Header.Get(forward.HeaderRequestID)
	if every(p.CrossEvery, n) {
		id = "another-request"
	}
	w.Header().Set(forward.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(PlainResponse{Upstream: p.ID, RunNumber: n, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Headers: r.Header})
	if every(p.CutEvery, n) {
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}
