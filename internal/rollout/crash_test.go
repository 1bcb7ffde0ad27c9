package rollout_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// engineRestart is the time after which a crashed engine serves again.
const engineRestart = 100 * time.Millisecond

// crashingPrompt is part of the requests with the prompt of group 1.
const crashingPrompt = `"messages":"1"`

// restartingFleet lists engines that crash when crashes returns true for the body of a
// request, crashDelay after its arrival. A crashed engine returns after engineRestart with
// another address.
type restartingFleet struct {
	*simFleet
	crashes    func(body string) bool
	crashDelay time.Duration
	hangs      func(body string) bool // may be nil; the engine is not listed from then on

	mu      sync.Mutex
	live    []upstream.Announcement
	removed map[string]bool // by id
}

func (f *restartingFleet) Service(string) []upstream.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.live), func(a upstream.Announcement) bool { return f.removed[a.ID] })
}

// remove takes an engine off the list.
func (f *restartingFleet) remove(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed[fmt.Sprint("e", i)] = true
}

func newRestartingFleet(t *testing.T, engines int, crashDelay time.Duration, crashes func(body string) bool) *restartingFleet {
	f := &restartingFleet{simFleet: newSimFleet(t), crashes: crashes, crashDelay: crashDelay, removed: map[string]bool{}}
	f.dispatchTo(f)
	for i := range engines {
		f.live = append(f.live, upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s", Concurrency: 8, Version: 1})
	}
	for i := range engines {
		f.startEngine(t, i)
	}
	return f
}

// startEngine starts the next incarnation of an engine.
func (f *restartingFleet) startEngine(t *testing.T, i int) {
	o := standin.Options{ID: fmt.Sprint("e", i), Concurrency: 8, Version: 1, TokenTime: time.Millisecond}
	engine := standin.Engine{Upstream: standin.NewUpstream(o)}.Handler()
	var srv *httptest.Server
	var once sync.Once
	crash := func() {
		once.Do(func() {
			f.simFleet.crashes.Add(1)
			srv.Listener.Close()
			srv.CloseClientConnections()
			time.AfterFunc(engineRestart, func() { f.startEngine(t, i) })
		})
	}
	srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case !f.crashes(string(body)):
		case f.crashDelay > 0:
			time.AfterFunc(f.crashDelay, crash)
		default:
			crash()
			panic(http.ErrAbortHandler)
		}
		if f.hangs != nil && f.hangs(string(body)) {
			f.remove(i)
			<-r.Context().Done()
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		engine.ServeHTTP(w, r)
	}))
	srv.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[i].Address = srv.Listener.Addr().String()
	f.live[i].Incarnation++
}

// Guards against a sample that is never generated again because engines crashed while they
// ran it: five engines crash under the same sound prompt, then all is calm. The sample must
// be delivered, and within seconds.
func TestSampleUnderCrashedEnginesIsDelivered(t *testing.T) {
	const burst = 5
	g := NewWithT(t)
	var crashes atomic.Int32
	f := newRestartingFleet(t, 6, 0, func(body string) bool {
		return strings.Contains(body, crashingPrompt) && crashes.Add(1) <= burst
	})
	began := time.Now()
	delivered := map[int]int{}
	for _, s := range f.fetchStep(t, 3, 16) {
		g.Expect(s.Tokens()).To(BeNumerically(">", 0), "group %d, index %d", s.Group, s.Index)
		delivered[s.Group]++
	}
	g.Expect(delivered).To(Equal(map[int]int{0: 8, 1: 8, 2: 8}))
	g.Expect(f.simFleet.crashes.Load()).To(BeNumerically("==", burst))
	g.Expect(time.Since(began)).To(BeNumerically("<", 15*time.Second))
}

// Guards against a prompt that crashes every engine and either takes them down without limit
// or blocks its step. While it crashes them, all samples of other prompts must be delivered,
// and the crashes must become rarer. Once the engines are repaired, its samples are delivered
// too and the step ends.
func TestCrashingPromptDoesNotBlockItsStep(t *testing.T) {
	const (
		broken     = 4 * time.Second
		maxCrashes = 6 // delays of 0.2, 0.4, 0.8, 1.6 and 3.2 s add up to more than broken
	)
	g := NewWithT(t)
	repairedAt := time.Now().Add(broken)
	f := newRestartingFleet(t, 3, 0, func(body string) bool {
		return strings.Contains(body, crashingPrompt) && time.Now().Before(repairedAt)
	})
	delivered, other, otherAt := map[int]int{}, 0, time.Time{}
	f.fetchEach(t, 3, 16, func(s rollout.Sample) {
		g.Expect(s.Tokens()).To(BeNumerically(">", 0), "group %d, index %d", s.Group, s.Index)
		delivered[s.Group]++
		if s.Group != 1 {
			if other++; other == 16 {
				otherAt = time.Now()
			}
		}
	})
	g.Expect(delivered).To(Equal(map[int]int{0: 8, 1: 8, 2: 8}))
	g.Expect(otherAt).To(BeTemporally("<", repairedAt), "samples of other prompts")
	g.Expect(f.simFleet.crashes.Load()).To(BeNumerically("<=", maxCrashes), "crashes in %v", broken)
	g.Expect(f.simFleet.crashes.Load()).To(BeNumerically(">", 2))
	g.Expect(time.Since(repairedAt)).To(BeNumerically("<", broken+2*time.Second), "end of the step")
}

// Guards against the loss or the repetition of tokens when an engine crashes in a sample: it
// goes on from its tokens at another engine, although other samples were delivered meanwhile.
func TestSampleResumesAfterUpstreamCrash(t *testing.T) {
	const burst = 3
	g := NewWithT(t)
	var crashes atomic.Int32
	f := newRestartingFleet(t, 4, 6*time.Millisecond, func(body string) bool {
		return strings.Contains(body, crashingPrompt) && crashes.Add(1) <= burst
	})
	resumed := 0
	out := f.fetchStep(t, 3, 64)
	g.Expect(out).To(HaveLen(24))
	for _, s := range out {
		words := strings.Fields(s.Text)
		g.Expect(s.Tokens()).To(Equal(len(words)))
		for i, w := range words {
			g.Expect(w).To(Equal(fmt.Sprintf("t%d@1", i)))
		}
		if len(s.Upstreams) > 1 {
			resumed++
		}
	}
	g.Expect(resumed).To(BeNumerically(">", 0))
	g.Expect(f.simFleet.crashes.Load()).To(BeNumerically(">", 0))
}

// Guards against a sample that stays for ever on an engine that has died without closing its
// connections: three engines stop in turn in a sample of one prompt and are not listed any
// more. The samples must go on at another engine.
func TestSampleLeavesSilentEngines(t *testing.T) {
	const burst = 3
	g := NewWithT(t)
	var hung atomic.Int32
	f := newRestartingFleet(t, 5, 0, func(string) bool { return false })
	f.hangs = func(body string) bool {
		return strings.Contains(body, crashingPrompt) && hung.Add(1) <= burst
	}
	began := time.Now()
	for _, s := range f.fetchStep(t, 3, 64) {
		words := strings.Fields(s.Text)
		g.Expect(s.Tokens()).To(Equal(len(words)))
		for i, w := range words {
			g.Expect(w).To(Equal(fmt.Sprintf("t%d@1", i)))
		}
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 45*time.Second))
}
