package dispatch

import (
	"context"
	"encoding/json"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/engine"
)

// Background runs jobs that no caller waits for, rollouts first of all: each is
// admitted behind the callers of its service.
type Background struct {
	Admission  admission.Admitter
	Dispatcher *Dispatcher
}

// Run admits job and runs it.
func (b Background) Run(ctx context.Context, job Job, consume Consumer) error {
	t := admission.RequestInfo{Service: job.Service, Account: job.Account, Weight: 1, Cost: jobCost(job), Priority: admission.BackgroundPriority}
	done, err := b.Admission.Admit(ctx, t)
	if err != nil {
		return err
	}
	err = b.Dispatcher.Run(ctx, job, consume)
	done(0)
	return err
}

// jobCost estimates the tokens of a completion.
func jobCost(job Job) float64 {
	var q engine.CompletionRequest
	if json.Unmarshal(job.Out.Body, &q) != nil {
		return 1
	}
	return float64(q.MaxTokens)
}
