package standin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// ScoreRequest is a sample to be scored.
type ScoreRequest struct {
	Text string `json:"text"`
}

// ScoreAnswer is its score.
type ScoreResponse struct {
	Score float64 `json:"score"`
}

// Scoring returns a scoring service that rates by length.
func ScoringHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /score", func(w http.ResponseWriter, r *http.Request) {
		var q ScoreRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, ScoreResponse{Score: float64(len(strings.Fields(q.Text)))})
	})
	return mux
}
