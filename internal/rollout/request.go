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

// StepRequest opens a step, or reopens it after a failure of its owner or its trainer.
type StepRequest struct {
	ID        string  `json:"id"`      // chosen by the trainer, unique within its account
	Attempt   uint64  `json:"attempt"` // from 1; increases with each opening of the step
	Cursor    int     `json:"cursor"`  // last position that the trainer received
	PerGroup  int     `json:"samples_per_group"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
}

// total returns the number of samples of the step.
func (q StepRequest) total() int { return q.PerGroup * len(q.Groups) }

// hash returns the SHA-256 hash of the request without Cursor and Attempt, in hexadecimal.
// A reopening must have the same hash.
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

// FetchRequest requests samples of a step and acknowledges the positions up to After.
type FetchRequest struct {
	Step    string        `json:"step"`    // see StepID
	Attempt uint64        `json:"attempt"` // of the opening; any other value is rejected
	After   int           `json:"after"`   // cursor: last position that the trainer received
	Limit   int           `json:"limit"`
	Wait    time.Duration `json:"wait"` // nanoseconds
}

// FetchResponse is the response to a FetchRequest.
type FetchResponse struct {
	Samples []Sample `json:"samples"`
	Attempt uint64   `json:"attempt"` // of the opening; a trainer discards responses of older ones
	Cursor  int      `json:"cursor"`  // the after parameter of the next request
	Done    bool     `json:"done"`    // every sample of the step is at or before Cursor
}
