package ratecap

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// tickInterval is the interval of a Keeper's periodic work.
const tickInterval = 100 * time.Millisecond

// Keeper keeps the requests of one daemon within the rates that upstreams name. It may be
// used by many goroutines.
type Keeper struct {
	recorder *recorder
}

// NewKeeper returns a Keeper without caps.
func NewKeeper(logger *log.Logger) *Keeper { return &Keeper{recorder: newRecorder(logger)} }

// Sent implements Tracker.
func (k *Keeper) Sent(to upstream.Announcement, p Purpose) { k.recorder.countSent(time.Now(), to, p) }

// Answered implements Tracker.
func (k *Keeper) Answered(a Answer) { k.recorder.observe(time.Now(), a) }

// Run does the periodic work until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Every(ctx, tickInterval, func() { k.recorder.report(time.Now()) })
}
