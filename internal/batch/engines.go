package batch

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Generation is one run of an item on one engine.
type GenerateRequest struct {
	ID          string // the item's, which the engine echoes
	Host        string
	Path        string
	Account     string
	Header      []state.Field
	Body        []byte
	LastEventID int // id of the last event that is there already; 0: none
	Priority    int // urgency towards the engine, 0 to 9, 0 first
	Deadline    time.Time
	// Gather is the pause between two reads of events, asked before each; nil for none.
	ReadPause func() time.Duration
}

// Event is one event of a generation.
type Event struct {
	ID      int    // grows by one with every event, from 1
	Data    string // lines separated by line feeds
	Version uint64 // weight version that produced it
}

// Engines runs generations on upstreams.
type Engines interface {
	// Generate passes each event on as it arrives and returns nil once the
	// engine has ended the generation. Codes of errors: UpstreamUnreached,
	// UpstreamBusy and UpstreamMoved when it did not run; SampleRefused when it
	// never can; SampleFailed when the engine failed on it; UpstreamFailed or
	// AnswerCut when it broke off and may go on elsewhere.
	Generate(ctx context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error
}

// Scorer runs the reward request of a complete sample.
type Scorer interface {
	// Score returns the signature of the answer. SampleFailed means that an
	// upstream answered with a failure of its own.
	Score(ctx context.Context, r *state.Reward, deadline time.Time) (string, error)
	// MaxFailures is how many answers with failures the route of the request
	// allows before it may be given up.
	MaxFailures(r *state.Reward) int
}
