package batch

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// GenerateRequest describes one attempt of an item.
type GenerateRequest struct {
	ID          string // id of the item, which the engine returns
	Host        string
	Path        string
	Account     string
	Header      []state.Field
	Body        []byte
	Homes       *homes.Homes // the regions that may run the item; nil: any
	LastEventID int          // id of the last event received by earlier attempts; 0 if none
	Priority    int          // priority at the engine, from 0 (highest) to 9
	// StartBy is when the request must have been sent; zero: at any time.
	StartBy  time.Time
	Deadline time.Time
	// ReadPause returns the pause before the next read of events. It is called before each
	// read. Nil means no pause.
	ReadPause func() time.Duration
	// MaxEventBytes returns the size above which an event is cut, with what is skipped
	// before it. It is called while events are read. Nil means that an event may be as large
	// as a page of results.
	MaxEventBytes func() int
	// What an attempt on a carrier needs besides.
	Term      uint64 // of the leader
	Job       string // batch job of the item
	Text      string // see textDigest, of the events up to LastEventID
	MaxEvents int    // bounds of the output of this attempt
	MaxBytes  int
	Progress  func(events int) // takes the number of events so far, some of which may come later
}

func (g GenerateRequest) maxEventBytes() int {
	if g.MaxEventBytes == nil {
		return control.MaxResultBytes
	}
	return g.MaxEventBytes()
}

func (g GenerateRequest) progress(events int) {
	if g.Progress != nil {
		g.Progress(events)
	}
}

// Event is one event of a generation.
type Event struct {
	ID      int    // 1 for the first event, incremented by one for each further one
	Data    string // lines separated by line feeds
	Version uint64 // weight version that produced the event
}

// Engines runs generations on upstreams.
type Engines interface {
	// Generate calls emit for each event as it arrives. It returns nil once the engine has
	// ended the generation. Otherwise the code of the error says what happened:
	//   - UpstreamUnreached, UpstreamBusy, UpstreamMoved: the item did not run.
	//   - SampleRefused: the item can never run.
	//   - SampleFailed: the engine failed on the item.
	//   - Any other code, such as UpstreamFailed or AnswerCut: the generation was
	//     interrupted and may be resumed on another upstream.
	Generate(ctx context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error
}

// ScoreLimits bounds a reward request in time.
type ScoreLimits struct {
	Deadline time.Time // of the answer
	// StartBy is when the request must have been sent to an upstream, further attempts
	// included; zero for the deadline. A daemon that does not hear when the batch job ends must
	// not send it long after.
	StartBy time.Time
	// Homes holds the regions of the batch job, which apply besides those of the request's own route;
	// nil: any.
	Homes *homes.Homes
}

// Scorer sends the reward request of a complete item.
type Scorer interface {
	// Score returns the signature of the response. An error with the code SampleFailed
	// means that an upstream answered with status 500.
	Score(ctx context.Context, r *state.Reward, limits ScoreLimits) (string, error)
	// MaxFailures returns the number of such failures after which the route of the request
	// allows the item to be aborted.
	MaxFailures(r *state.Reward) int
	// Timeout returns how long the route of the request lets it run.
	Timeout(r *state.Reward) time.Duration
}
