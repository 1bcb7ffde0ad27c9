package dispatch

import (
	"encoding/json"

	"github.com/apricotstream/apricotstream/internal/engine"
)

// prefixBytes is how many bytes at the start of a prompt determine its preferred upstream,
// see picker.Request.Prefix.
const prefixBytes = 256

// promptPrefix returns the first prefixBytes of the job's prompt. It returns an empty
// string if the job has no prompt or if the prompt is shorter than that, because a short
// prompt gains too little from the prefix cache.
func (j Job) promptPrefix() string {
	if j.Out.Path != engine.CompletionsPath {
		return ""
	}
	var req engine.CompletionRequest
	if json.Unmarshal(j.Out.Body, &req) != nil || len(req.Messages) < prefixBytes {
		return ""
	}
	return string(req.Messages[:prefixBytes])
}
