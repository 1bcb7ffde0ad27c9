package standin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// ScoreRequest is the body of a request to score one sample.
type ScoreRequest struct {
	Text string `json:"text"`
}

// ScoreResponse is the body of the response to a ScoreRequest.
type ScoreResponse struct {
	Score float64 `json:"score"`
}

// ScoringHandler returns a fake scoring service. The score of a text is its number of
// words.
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
