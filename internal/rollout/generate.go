package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	// rolloutPriority is lower than the default priority of interactive requests.
	rolloutPriority = 8
	// maxDispatches is the maximum number of requests dispatched for one sample, and so of
	// the upstreams that generate parts of it.
	maxDispatches = 8
)

// maxSeed limits seeds to integers that every JSON parser represents exactly.
const maxSeed = 1 << 53

// sampleSeed returns the seed of a slot of a step. A slot that is generated again uses the
// same seed: a new seed after a long sample became stale would bias the samples towards
// short ones.
func sampleSeed(step string, slot int) int64 {
	return int64(xxhash.Sum64String(fmt.Sprintf("%s/%d", step, slot))%(maxSeed-1)) + 1
}

// Runner runs jobs on upstreams.
type Runner interface {
	Run(ctx context.Context, job dispatch.Job, consume dispatch.Consumer) error
}

// generator generates one sample. When an upstream fails or is too slow, another one
// resumes from the partial output. When an upstream crashes, the generator ends with an
// error; its partial sample may be passed on to the next generator of the sample.
type generator struct {
	runner        Runner
	request       engine.CompletionRequest
	account       string
	oldestAllowed func() uint64 // returns the oldest weight version within the staleness bound
	alone         bool          // whether to keep other requests away from its upstream

	onStart    func(prefixTokens int, cancelAttempt context.CancelCauseFunc) // at the start of each attempt
	onTokens   func(tokens int)                                              // for each chunk
	onMove     func(upstream string)                                         // when the upstream was too slow
	onEnd      func()                                                        // at the end of each dispatched request
	onCrash    func(upstream.Announcement)                                   // when the upstream crashed; may be called after run has returned
	onSurvival func()                                                        // when an upstream has generated tokens for survivalTime

	partialSample partialSample
	avoid         []string    // upstreams that failed or were too slow
	crashed       atomic.Bool // whether an upstream crashed
	firstTokenAt  time.Time   // from the current upstream; zero before the first token
	survived      bool        // whether onSurvival was called for the current upstream
}

// run generates the sample with at most maxDispatches dispatched requests.
func (g *generator) run(ctx context.Context) (Sample, error) {
	var err error
	for range maxDispatches {
		if err = g.part(ctx); err == nil {
			return g.partialSample.finished()
		}
		if ctx.Err() != nil || g.crashed.Load() || !g.resumable(err) {
			return Sample{}, err
		}
	}
	return Sample{}, err
}

// resumable prepares for another request after err and reports whether it may be
// dispatched. After a failure or a move, it excludes the current upstream from further
// attempts. If no upstream was available, it clears the exclusions and waits for
// retryDelay. With a partial output, another request may be dispatched if that output is
// within the staleness bound; without one, only after a move.
func (g *generator) resumable(err error) bool {
	switch result.CodeOf(err) {
	case result.SampleMoved:
		g.onMove(g.partialSample.upstream())
		g.avoid = append(g.avoid, g.partialSample.upstream())
	case result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed:
		g.avoid = append(g.avoid, g.partialSample.upstream())
	case result.NoUpstream, result.UpstreamUnreached:
		g.avoid = nil
		time.Sleep(retryDelay)
	default:
		return false
	}
	if len(g.partialSample.sample.Segments) == 0 {
		return result.CodeOf(err) == result.SampleMoved
	}
	samplesResumed.Inc()
	return g.partialSample.sample.OldestVersion() >= g.oldestAllowed()
}

// part dispatches one request, which resumes from the partial output. No further attempt of
// this request follows once an upstream has generated a token.
func (g *generator) part(ctx context.Context) error {
	job, err := g.job()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.OnAttempt = func(u upstream.Announcement) {
		g.partialSample.beginUpstream(u.ID, job.Out.RequestID)
		g.partialSample.current = origin.Of(u)
		g.firstTokenAt, g.survived = time.Time{}, false
		g.onStart(g.partialSample.sample.Tokens(), cancel)
	}
	job.OnCrash = func(u upstream.Announcement) {
		g.crashed.Store(true)
		g.onCrash(u)
	}
	defer g.onEnd()
	err = g.runner.Run(ctx, job, func(resp *http.Response, _ upstream.Announcement) error {
		err := engine.ReadStream(resp.Body, job.Out.RequestID, g.appendChunk)
		if g.partialSample.part > 0 {
			return dispatch.Delivered(err) // prevents a retry of the same request
		}
		return err
	})
	if err != nil && result.CodeOf(context.Cause(ctx)) == result.SampleMoved {
		return context.Cause(ctx)
	}
	return err
}

func (g *generator) appendChunk(c engine.Chunk) error {
	g.onTokens(c.Tokens())
	g.checkSurvival(time.Now())
	if err := g.partialSample.appendChunk(c); err != nil {
		return err
	}
	return g.partialSample.checkLimit(g.request.MaxTokens)
}

// checkSurvival calls onSurvival once the current upstream has generated tokens for
// survivalTime.
func (g *generator) checkSurvival(now time.Time) {
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = now
	}
	if !g.survived && now.Sub(g.firstTokenAt) >= survivalTime {
		g.survived = true
		g.onSurvival()
	}
}

// job returns the request for the rest of the sample.
func (g *generator) job() (dispatch.Job, error) {
	q := g.request
	q.Resume = g.partialSample.sample.Text
	body, err := json.Marshal(q)
	if err != nil {
		return dispatch.Job{}, err
	}
	return dispatch.Job{
		Service:    q.Model,
		Account:    g.account,
		MinVersion: g.oldestAllowed(),
		Origin:     g.partialSample.origin(),
		Idempotent: true,
		Owed:       true,
		Alone:      g.alone,
		Exclude:    g.avoid,
		Out: forward.Outgoing{
			RequestID: uuid.NewString(), Method: http.MethodPost, Path: engine.CompletionsPath,
			ContentType: "application/json", Accept: "text/event-stream",
			Priority: rolloutPriority, Body: body,
		},
	}, nil
}
