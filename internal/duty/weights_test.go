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

// fakeEngines is a group of engines that load every ordered version in loadTime.
type fakeEngines struct {
	loadTime time.Duration

	mu      sync.Mutex
	engines map[string]*Report
	loaded  map[string]int // loads by model
}

// newFakeEngines returns engines in three zones that hold version 1 of models a, b and c,
// and a duty that orders them to load the versions that p publishes.
func newFakeEngines(size int, p PublishedModels) (*fakeEngines, *Weights) {
	f := &fakeEngines{loadTime: 900 * time.Millisecond, engines: map[string]*Report{}, loaded: map[string]int{}}
	var engines []upstream.Announcement
	for i := range size {
		e := upstream.Announcement{ID: fmt.Sprintf("engine%02d", i), Service: "engines", Zone: fmt.Sprintf("zone%d", i%3), Incarnation: 1, Models: "a=1,b=1,c=1"}
		engines = append(engines, e)
		f.engines[e.ID] = &Report{Versions: map[string]uint64{"a": 1, "b": 1, "c": 1}}
	}
	term := uint64(1)
	list := func() []upstream.Announcement { return engines }
	return f, NewWeights(NewTerm(fakeLeadership(&term), "me", 0), p, list, weights.NewVersionTable(), f, log.New(io.Discard))
}

func (f *fakeEngines) Order(_ context.Context, _ Fence, to upstream.Announcement, o Order) (bool, error) {
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

func (f *fakeEngines) Report(_ context.Context, to upstream.Announcement) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := *f.engines[to.ID]
	r.Versions = maps.Clone(r.Versions)
	return r, nil
}

// stubModels publishes a version of every model in each period, one model after the other.
type stubModels struct {
	models []string
	period time.Duration
	began  time.Time
	lag    uint64 // number of versions behind the newest one that batch jobs may use
}

func (s stubModels) ModelVersions() map[string]uint64 {
	out := map[string]uint64{}
	for i, m := range s.models {
		ahead := time.Duration(i) * s.period / time.Duration(len(s.models))
		out[m] = 1 + uint64((time.Since(s.began)+ahead)/s.period)
	}
	return out
}

func (s stubModels) MinVersions() map[string]uint64 {
	out := s.ModelVersions()
	for m, v := range out {
		out[m] = v - min(s.lag, v)
	}
	return out
}

func (stubModels) Services(string) map[string]bool { return map[string]bool{"engines": true} }
func (stubModels) Demand() map[string]float64      { return nil }

// Several trainers publish faster than the weight store can serve them. Each model must get
// its share of the loads, whichever model keeps the store busy.
func TestModelsShareBusyWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		published := stubModels{models: []string{"a", "b", "c"}, period: 2 * time.Second, began: time.Now()}
		f, w := newFakeEngines(9, published)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		w.Run(ctx)
		time.Sleep(loadTimeout)

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

// Versions of three models are published as fast as the weight store can load them on all
// engines, and batch jobs may use the version before the newest one. Engines with an older
// version must load first, whichever model they serve, so that most engines can run batch
// jobs.
func TestEnginesWithUnusableVersionsLoadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		published := stubModels{models: []string{"a", "b", "c"}, period: 4 * time.Second, began: time.Now(), lag: 1}
		f, w := newFakeEngines(36, published)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		usable, samples := 0, 0
		for ctx.Err() == nil {
			minVersions := published.MinVersions()
			f.mu.Lock()
			for _, r := range f.engines {
				canWork := false
				for m, v := range r.Versions {
					canWork = canWork || v >= minVersions[m]
				}
				samples++
				if canWork && !r.Busy {
					usable++
				}
			}
			f.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(loadTimeout)
		g.Expect(float64(usable) / float64(samples)).To(BeNumerically(">", 0.8))
	})
}
