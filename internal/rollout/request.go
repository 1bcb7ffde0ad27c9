package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Group is one prompt of a step.
type Group struct {
	Messages json.RawMessage `json:"messages"`
}

// StepRequest opens a step, or reopens it after its owner or its trainer failed.
type StepRequest struct {
	ID        string  `json:"id"`      // chosen by the trainer, unique within its account
	Attempt   uint64  `json:"attempt"` // from 1; grows with each opening of the step
	Cursor    int     `json:"cursor"`  // last position that the trainer received
	PerGroup  int     `json:"samples_per_group"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
}

// total is the number of samples wanted.
func (q StepRequest) total() int { return q.PerGroup * len(q.Groups) }

// hash identifies the content of a step, which reopening must not change.
func (q StepRequest) hash() (string, error) {
	q.Cursor = 0
	q.Attempt = 0
	b, err := json.Marshal(q)
	if err != nil {
		return "", err
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:]), nil
}

// TakeRequest takes samples of a step. Step is account/id.
type FetchRequest struct {
	Step    string        `json:"step"`
	Attempt uint64        `json:"attempt"` // of the opening; answers of another are refused
	After   int           `json:"after"`
	Limit   int           `json:"limit"`
	Wait    time.Duration `json:"wait"` // nanoseconds
}

// Batch is what a trainer takes.
type FetchResponse struct {
	Samples []Sample `json:"samples"`
	Attempt uint64   `json:"attempt"` // of the opening; a trainer drops batches of older ones
	Cursor  int      `json:"cursor"`  // the next request's after= parameter
	Done    bool     `json:"done"`    // every sample of the step is at or before Cursor
}
