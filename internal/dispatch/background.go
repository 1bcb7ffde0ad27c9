package dispatch

import (
	"context"
	"encoding/json"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/engine"
)

// Background runs jobs that no caller waits for: those of rollouts. They are admitted with
// BackgroundPriority, so the callers of the same service have precedence.
type Background struct {
	Admission  admission.Admitter
	Dispatcher *Dispatcher
}

// Run waits until job is admitted and then dispatches it. It returns the errors of the
// admission and of the Dispatcher.
func (b Background) Run(ctx context.Context, job Job, consume Consumer) error {
	info := admission.RequestInfo{Service: job.Service, Account: job.Account, Weight: 1, Cost: estimateCost(job), Priority: admission.BackgroundPriority}
	done, err := b.Admission.Admit(ctx, info)
	if err != nil {
		return err
	}
	err = b.Dispatcher.Run(ctx, job, consume)
	done(0)
	return err
}

// estimateCost returns the max_tokens of a completion request as its estimated cost in
// tokens, or 1 if the body cannot be decoded as a completion request.
func estimateCost(job Job) float64 {
	var req engine.CompletionRequest
	if json.Unmarshal(job.Out.Body, &req) != nil {
		return 1
	}
	return float64(req.MaxTokens)
}
