package duty

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// fleet is a group of engines that load every ordered version in loadTime.
type fleet struct {
	loadTime time.Duration

	mu      sync.Mutex
	engines map[string]*Report
	loaded  map[string]int // loads by model
}

// newFleet returns engines in three zones that hold version 1 of models a, b and c,
// and the duty that brings them to the published versions.
func newFleet(size int, p Published) (*fleet, *Weights) {
	f := &fleet{loadTime: 900 * time.Millisecond, engines: map[string]*Report{}, loaded: map[string]int{}}
	var engines []upstream.Announcement
	for i := range size {
		e := upstream.Announcement{ID: fmt.Sprintf("engine%02d", i), Service: "engines", Zone: fmt.Sprintf("zone%d", i%3), Incarnation: 1, Models: "a=1,b=1,c=1"}
		engines = append(engines, e)
		f.engines[e.ID] = &Report{Versions: map[string]uint64{"a": 1, "b": 1, "c": 1}}
	}
	term := uint64(1)
	list := func() []upstream.Announcement { return engines }
	return f, NewWeights(NewTerm(leading(&term), "me", 0), p, list, weights.NewVersionTable(), f, log.New(io.Discard))
}

func (f *fleet) Order(_ context.Context, _ Fence, to upstream.Announcement, o Order) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[to.ID]
	e.Busy, e.Orders = true, e.Orders+1
	time.AfterFunc(f.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.Busy, e.Versions[o.Model] = false, o.Version
		f.loaded[o.Model]++
	})
	return true, nil
}

func (f *fleet) Report(_ context.Context, to upstream.Announcement) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := *f.engines[to.ID]
	r.Versions = maps.Clone(r.Versions)
	return r, nil
}

// steadyVersions publishes a version of every model each period, one model after
// the other.
type steadyVersions struct {
	models []string
	period time.Duration
	began  time.Time
	lag    uint64 // versions behind the newest that work may use
}

func (s steadyVersions) ModelVersions() map[string]uint64 {
	out := map[string]uint64{}
	for i, m := range s.models {
		ahead := time.Duration(i) * s.period / time.Duration(len(s.models))
		out[m] = 1 + uint64((time.Since(s.began)+ahead)/s.period)
	}
	return out
}

func (s steadyVersions) Needed() map[string]uint64 {
	out := s.ModelVersions()
	for m, v := range out {
		out[m] = v - min(s.lag, v)
	}
	return out
}

func (steadyVersions) Services(string) map[string]bool { return map[string]bool{"engines": true} }
func (steadyVersions) Demand() map[string]float64      { return nil }

// Several trainers publish faster than the weight store can serve them all: each
// model gets its share of the loads, whichever of them keeps the store busy.
func TestModelsShareAStoreThatIsAlwaysBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		published := steadyVersions{models: []string{"a", "b", "c"}, period: 2 * time.Second, began: time.Now()}
		f, w := newFleet(9, published)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		w.Run(ctx)
		time.Sleep(maxLoad)

		f.mu.Lock()
		defer f.mu.Unlock()
		total := 0
		for _, n := range f.loaded {
			total += n
		}
		g.Expect(total).To(BeNumerically(">", 80))
		for _, m := range published.models {
			g.Expect(f.loaded[m]).To(BeNumerically(">=", total/4), "%s: %v", m, f.loaded)
		}
	})
}

// Versions of three models come as fast as the store can load them everywhere, and
// work may use the version before the newest: the engines whose version is of no
// use come first, whichever model they serve, so that most engines can work.
func TestEnginesThatCannotWorkAreLoadedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		published := steadyVersions{models: []string{"a", "b", "c"}, period: 4 * time.Second, began: time.Now(), lag: 1}
		f, w := newFleet(36, published)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		able, samples := 0, 0
		for ctx.Err() == nil {
			needed := published.Needed()
			f.mu.Lock()
			for _, r := range f.engines {
				best := false
				for m, v := range r.Versions {
					best = best || v >= needed[m]
				}
				samples++
				if best && !r.Busy {
					able++
				}
			}
			f.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(maxLoad)
		g.Expect(float64(able) / float64(samples)).To(BeNumerically(">", 0.8))
	})
}
