package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	// rolloutPriority ranks samples below interactive requests.
	rolloutPriority = 8
	// maxParts bounds the number of upstreams that one sample uses.
	maxParts = 8
)

// maxSeed bounds seeds, so that every JSON reader keeps them exact.
const maxSeed = 1 << 53

// seedOf returns the seed of a step's slot. A slot that is generated again uses
// the same seed: drawing another one after a long sample became stale would bias
// the samples towards short ones.
func seedOf(step string, slot int) int64 {
	return int64(xxhash.Sum64String(fmt.Sprintf("%s/%d", step, slot))%(maxSeed-1)) + 1
}

// Runner runs jobs on upstreams.
type Runner interface {
	Run(ctx context.Context, job dispatch.Job, consume dispatch.Consumer) error
}

// generation produces one sample. When an upstream fails or is too slow, another
// one continues from the tokens generated so far.
type generation struct {
	runner  Runner
	request engine.CompletionRequest
	account string
	allowed func() uint64 // oldest weight version of use

	began func(prefix int, move context.CancelCauseFunc)
	grew  func(tokens int)
	left  func(upstream string) // because it was too slow
	ended func()

	draft draft
	avoid []string // upstreams that failed, or are too slow
}

// run generates the sample.
func (g *generation) run(ctx context.Context) (Sample, error) {
	var err error
	for range maxParts {
		if err = g.part(ctx); err == nil {
			return g.draft.finished()
		}
		if ctx.Err() != nil || !g.resumable(err) {
			return Sample{}, err
		}
	}
	return Sample{}, err
}

// resumable reports whether another upstream may continue after err, and excludes
// the present one from the next choice.
func (g *generation) resumable(err error) bool {
	switch result.CodeOf(err) {
	case result.SampleMoved:
		g.left(g.draft.upstream())
		g.avoid = append(g.avoid, g.draft.upstream())
	case result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed:
		g.avoid = append(g.avoid, g.draft.upstream())
	case result.NoUpstream, result.UpstreamUnreached:
		g.avoid = nil
		time.Sleep(retryWait)
	default:
		return false
	}
	if len(g.draft.sample.Segments) == 0 {
		return result.CodeOf(err) == result.SampleMoved
	}
	resumed.Inc()
	return g.draft.sample.OldestVersion() >= g.allowed()
}

// part runs the sample at one upstream, starting after the tokens generated so far.
func (g *generation) part(ctx context.Context) error {
	job, err := g.job()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.OnAttempt = func(u upstream.Announcement) {
		g.draft.begin(u.ID, job.Out.RequestID)
		g.began(g.draft.sample.Tokens(), cancel)
	}
	defer g.ended()
	err = g.runner.Run(ctx, job, func(resp *http.Response, _ upstream.Announcement) error {
		err := engine.ReadStream(resp.Body, job.Out.RequestID, g.take)
		if g.draft.part > 0 {
			return dispatch.Delivered(err) // not repeated from its old beginning
		}
		return err
	})
	if err != nil && result.CodeOf(context.Cause(ctx)) == result.SampleMoved {
		return context.Cause(ctx)
	}
	return err
}

func (g *generation) take(c engine.Chunk) error {
	g.grew(c.Tokens())
	return g.draft.take(c)
}

// job returns the request for the rest of the sample. Its fingerprint is that of
// the whole request, so that quarantine also recognizes a resumed one.
func (g *generation) job() (dispatch.Job, error) {
	q := g.request
	q.Seed = 0
	whole, err := json.Marshal(q)
	if err != nil {
		return dispatch.Job{}, err
	}
	q = g.request
	q.Resume = g.draft.sample.Text
	body, err := json.Marshal(q)
	if err != nil {
		return dispatch.Job{}, err
	}
	return dispatch.Job{
		Service:     q.Model,
		Account:     g.account,
		Fingerprint: quarantine.Fingerprint(q.Model, g.account, engine.CompletionsPath, whole),
		MinVersion:  g.allowed(),
		Idempotent:  true,
		Exclude:     g.avoid,
		Out: forward.Outgoing{
			RequestID: uuid.NewString(), Method: http.MethodPost, Path: engine.CompletionsPath,
			ContentType: "application/json", Accept: "text/event-stream",
			Priority: rolloutPriority, Body: body,
		},
	}, nil
}
