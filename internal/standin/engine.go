package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Engine is a model engine: it makes up tokens at a steady rate.
type Engine struct {
	*Upstream
}

// Handler returns the engine's routes.
func (e Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.CompletionsPath, e.complete)
	mux.HandleFunc("POST "+weights.OrderPath, e.load)
	mux.HandleFunc("GET "+weights.SharePath+"/{service}/{version}", e.share)
	return mux
}

func (e Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var q engine.CompletionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, leave, ok := e.enter(r.Context(), string(body))
	if !ok {
		return
	}
	defer leave()
	id := r.Header.Get(forward.HeaderRequestID)
	if every(e.CrossEvery, n) {
		id = "another-request"
	}
	w.Header().Set(forward.HeaderRequestID, id)
	if q.Stream {
		e.stream(w, r, q, id, n)
		return
	}
	e.whole(w, q, id)
}

// length draws the number of tokens from the prompt and the seed, so that the
// same sample has the same length at every engine.
func length(q engine.CompletionRequest, id string) int {
	limit := q.MaxTokens
	if limit <= 0 {
		limit = 64
	}
	h := fnv.New64a()
	_, _ = h.Write(q.Messages)
	if q.Seed != 0 {
		id = strconv.FormatInt(q.Seed, 10)
	}
	_, _ = io.WriteString(h, id)
	rnd := rand.New(rand.NewPCG(h.Sum64(), 1))
	return max(1, limit/4+rnd.IntN(max(1, limit*3/4)))
}

func (e Engine) stream(w http.ResponseWriter, r *http.Request, q engine.CompletionRequest, id string, n int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	token := e.TokenTime
	if every(e.SlowEvery, n) {
		token *= 10
	}
	time.Sleep(e.prefill(string(q.Messages)))
	total := length(q, id)
	done := len(strings.Fields(q.Resume))
	for i := done; i < total; i++ {
		if !periodic.Pause(r.Context(), token) {
			return
		}
		if i == total/2 && every(e.CutEvery, n) {
			panic(http.ErrAbortHandler)
		}
		// The text contains the version, so that tests can check the labels.
		v := e.version.Load()
		c := engine.Chunk{ID: id, WeightVersion: v, Choices: []engine.Choice{{Delta: engine.Delta{Content: fmt.Sprintf("t%d@%d ", i, v)}}}}
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		w.(http.Flusher).Flush()
	}
	last, _ := json.Marshal(engine.Chunk{ID: id, WeightVersion: e.version.Load(), Usage: &engine.Usage{CompletionTokens: total - done}})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", last)
}

func (e Engine) whole(w http.ResponseWriter, q engine.CompletionRequest, id string) {
	total := length(q, id)
	time.Sleep(time.Duration(total) * e.TokenTime)
	c := engine.Chunk{ID: id, WeightVersion: e.version.Load(), Usage: &engine.Usage{CompletionTokens: total}}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c)
}
