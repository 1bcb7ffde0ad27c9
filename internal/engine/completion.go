// Package engine defines the protocol of model engines: OpenAI-compatible chat
// completions, streamed as server-sent events, with the weight version of every chunk.
package engine

import "encoding/json"

// CompletionsPath is the route of chat completions.
const CompletionsPath = "/v1/chat/completions"

// CompletionRequest contains the fields of a request that this system reads or writes.
type CompletionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	Priority  int             `json:"priority,omitempty"`
	// Seed makes an engine that supports it generate the same tokens again.
	Seed int64 `json:"seed,omitempty"`
	// Resume is the partial output of other engines, from which the engine resumes.
	// MaxTokens includes its tokens.
	Resume string `json:"resume,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID            string   `json:"id"`
	Choices       []Choice `json:"choices"`
	WeightVersion uint64   `json:"weight_version"`
	// TokenCount is the number of tokens of this chunk. See Tokens for chunks without it.
	TokenCount int    `json:"token_count,omitempty"`
	Usage      *Usage `json:"usage,omitempty"`
}

// Choice is one choice of a chunk. Only the first choice of a chunk is used.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta contains the text that a chunk adds.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage contains the token counts of a whole stream, without the tokens of Resume. It is
// optional and part of the last chunk.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Text returns the text that the chunk adds.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Tokens returns the number of generated tokens of the chunk: TokenCount if it is set,
// otherwise 1 for a chunk with text and 0 for one without.
func (c Chunk) Tokens() int {
	if c.TokenCount > 0 || c.Text() == "" {
		return c.TokenCount
	}
	return 1
}
