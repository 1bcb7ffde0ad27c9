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

// Engine is a fake model engine that generates tokens at a constant rate.
type Engine struct {
	*Upstream
}

// Handler returns the engine's routes.
func (e Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.CompletionsPath, e.handleCompletion)
	mux.HandleFunc("POST "+weights.OrderPath, e.loadWeights)
	mux.HandleFunc("GET "+weights.SharePath+"/{service}/{version}", e.serveWeights)
	return mux
}

// handleCompletion handles a completion request, streamed or not.
func (e Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var q engine.CompletionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, release, ok := e.acquireSlot(r.Context(), string(body))
	if !ok {
		return
	}
	defer release()
	id := r.Header.Get(forward.HeaderRequestID)
	if isNth(e.CrossEvery, n) {
		id = "another-request"
	}
	w.Header().Set(forward.HeaderRequestID, id)
	if q.Stream {
		e.streamCompletion(w, r, q, id, n)
		return
	}
	e.writeCompletion(w, q, id)
}

// completionTokens derives the number of tokens of a completion from the prompt and the
// seed, so that a sample has the same length at every engine. Without a seed it uses id,
// the request id.
func completionTokens(q engine.CompletionRequest, id string) int {
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

// streamCompletion streams the completion with request id id, one token in each event. n
// is the number of the request at this upstream. A resumed completion continues after
// the tokens in q.Resume.
func (e Engine) streamCompletion(w http.ResponseWriter, r *http.Request, q engine.CompletionRequest, id string, n int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	token := e.TokenTime
	if isNth(e.SlowEvery, n) {
		token *= 10
	}
	time.Sleep(e.prefillTime(string(q.Messages)))
	total := completionTokens(q, id)
	done := len(strings.Fields(q.Resume))
	for i := done; i < total; i++ {
		if !periodic.Pause(r.Context(), token) {
			return
		}
		if i == total/2 && isNth(e.CutEvery, n) {
			panic(http.ErrAbortHandler)
		}
		// The text contains the weight version, so that tests can check the version labels.
		v := e.version.Load()
		c := engine.Chunk{ID: id, WeightVersion: v, Choices: []engine.Choice{{Delta: engine.Delta{Content: fmt.Sprintf("t%d@%d ", i, v)}}}}
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		w.(http.Flusher).Flush()
	}
	last, _ := json.Marshal(engine.Chunk{ID: id, WeightVersion: e.version.Load(), Usage: &engine.Usage{CompletionTokens: total - done}})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", last)
}

// writeCompletion sends the completion in one response. It contains the token count but
// no text.
func (e Engine) writeCompletion(w http.ResponseWriter, q engine.CompletionRequest, id string) {
	total := completionTokens(q, id)
	time.Sleep(time.Duration(total) * e.TokenTime)
	c := engine.Chunk{ID: id, WeightVersion: e.version.Load(), Usage: &engine.Usage{CompletionTokens: total}}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c)
}
