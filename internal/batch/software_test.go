package batch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// softwarePool has an engine for each software version listed, with six slots each.
type softwarePool struct {
	fakeFleetPool
	mu       sync.Mutex
	software []string
}

func (p *softwarePool) Known() []upstream.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []upstream.Announcement
	for i, v := range p.software {
		if v != "" {
			out = append(out, upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s", Software: v})
		}
	}
	return out
}

// fakeBreakingEngines generates testItemEvents events, 10 ms each, that name the software
// version of the engine. A run that begins an item breaks off in the middle of it, as long as
// breaks are left.
type fakeBreakingEngines struct {
	mu      sync.Mutex
	breaks  int
	resumed int
}

func (e *fakeBreakingEngines) Generate(_ context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	e.mu.Lock()
	breaks := g.LastEventID == 0 && e.breaks > 0
	if breaks {
		e.breaks--
	}
	if g.LastEventID > 0 {
		e.resumed++
	}
	e.mu.Unlock()
	for n := g.LastEventID + 1; n <= testItemEvents; n++ {
		time.Sleep(10 * time.Millisecond)
		if breaks && n > testItemEvents/2 {
			return result.New(result.AnswerCut, "connection reset")
		}
		emit(Event{ID: n, Data: to.Software, Version: 3})
	}
	return nil
}

// textReplica records the texts and the progress that are committed.
type textReplica struct {
	resultReplica
	texts    map[string]string
	progress []state.BatchProgress
}

func (r *textReplica) Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error) {
	r.mu.Lock()
	for _, x := range q.Command.BatchRecord.Results {
		r.texts[x.Item] = x.Text
	}
	r.progress = append(r.progress, q.Command.BatchRecord.Progress...)
	r.mu.Unlock()
	return r.resultReplica.Propose(ctx, q)
}

// joinedTexts returns the number of texts with events of several software versions.
func (r *textReplica) joinedTexts() int {
	n := 0
	for _, text := range r.texts {
		if len(slices.Compact(strings.Split(text, "\n"))) > 1 {
			n++
		}
	}
	return n
}

func newTextReplica(jobs ...OpenJob) *textReplica {
	r := &textReplica{resultReplica: resultReplica{fakeReplica: fakeReplica{term: 1, change: make(chan struct{})}, results: map[string]time.Time{}}, texts: map[string]string{}}
	for _, j := range jobs {
		j.Batch.RunDeadline, j.Batch.ItemTTL = time.Hour, time.Hour
		r.jobs = append(r.jobs, control.OpenBatch(j))
	}
	return r
}

// Guards against texts of items joined from two software versions: an item whose run broke off
// goes on at its version, and is not generated anew while that one has room.
func TestItemGoesOnOnlyAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		replica := newTextReplica(testJob("j", 3, 4, time.Now()))
		engines := &fakeBreakingEngines{breaks: 12}
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRunner(replica, &softwarePool{software: []string{"v1", "v2"}}, engines, stubFailingScorer{}, log.New(io.Discard))
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		g.Expect(replica.texts).To(HaveLen(12))
		g.Expect(replica.joinedTexts()).To(BeZero())
		g.Expect(engines.resumed).To(Equal(12), "no work is lost")
	})
}

// Guards against an item that the next leader goes on with at another software version, and
// against one that waits until its time is up because its version has left.
func TestNextLeaderGoesOnAtTheSoftwareVersionOfTheCommittedText(t *testing.T) {
	for _, c := range []struct {
		name     string
		software []string // versions of the engines of the next leader; empty: the engine has left
		commits  int
		resumed  int
	}{
		{"the version still serves", []string{"v1", "v2", "v2"}, 1, 1},
		{"the version still serves, long text", []string{"v1", "v2", "v2"}, 3, 1},
		{"the version has left", []string{"", "v2", "v2"}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				job := testJob("j", 1, 1, time.Now())
				first := newItemOf(job)
				a := newAttempt(t.Context(), 1, first, upstream.Announcement{ID: "e0", Service: "s", Software: "v1"}, &outputBudget{})
				s := newSession(&Runner{log: log.New(io.Discard)}, 1)
				s.resultCommitter = newCommitter(nil, s.log)
				s.attempts[first] = a
				committed := state.New()
				job.Batch.Retention = time.Hour
				committed.Apply(state.Command{At: time.Now(), BatchAccept: &state.BatchAccept{Batch: *job.Batch}})
				for n := range c.commits {
					for _, e := range testEvents(1+n*minProgressEvents, minProgressEvents, 3) {
						e.Data = "v1"
						a.appendEvent(e)
					}
					s.commitProgress()
					committed.Apply(state.Command{At: time.Now(), BatchRecord: &state.BatchRecord{Progress: []state.BatchProgress{*nextProgress(t, s)}}})
				}
				job.Partial = map[string]state.Partial{"j-0-0": *committed.Ledger.Batches["j"].Partial["j-0-0"]}

				replica := newTextReplica(job)
				engines := &fakeEndingEngines{events: 3*minProgressEvents + 5}
				ctx, cancel := context.WithCancel(t.Context())
				r := NewRunner(replica, &softwarePool{software: c.software}, engines, stubFailingScorer{}, log.New(io.Discard))
				done := make(chan struct{})
				go func() { defer close(done); r.Run(ctx) }()
				time.Sleep(5 * time.Second)
				cancel()
				<-done
				g.Expect(replica.texts).To(HaveLen(1))
				g.Expect(replica.joinedTexts()).To(BeZero())
				g.Expect(engines.resumed).To(Equal(c.resumed))
			})
		})
	}
}

// nextProgress returns the progress that waits for its commit.
func nextProgress(t *testing.T, s *session) *state.BatchProgress {
	select {
	case r := <-s.resultCommitter.queue:
		return r.progress
	default:
		t.Fatal("nothing waits for a commit")
		return nil
	}
}

// newItemOf returns the only item of a job.
func newItemOf(job OpenJob) *item { return newJob(job).items[0] }

// fakeEndingEngines generates the given number of events, 10 ms each, that name the software
// version of the engine.
type fakeEndingEngines struct{ events, resumed int }

func (e *fakeEndingEngines) Generate(_ context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	if g.LastEventID > 0 {
		e.resumed++
	}
	for n := g.LastEventID + 1; n <= e.events; n++ {
		time.Sleep(10 * time.Millisecond)
		emit(Event{ID: n, Data: to.Software, Version: 3})
	}
	return nil
}

// Guards against an item that waits for its software version until its time is up, and against
// one that is generated anew although its version is only full for a moment.
func TestItemWaitsForItsSoftwareVersionNoLongerThanItsTextTook(t *testing.T) {
	const generatedFor = 2 * time.Second
	for _, c := range []struct {
		name     string
		change   func(own *Engine)
		after    time.Duration // until the item begins anew
		goesOnAt time.Duration // when an engine of its version has room again; 0 for never
	}{
		{name: "silent", change: func(own *Engine) { own.Upstream.Silent = true }},
		{name: "replaced by the other version", change: func(own *Engine) { own.Upstream.Software = "v2"; own.BackingOff = true }},
		{name: "version not known", change: func(own *Engine) { own.Upstream.Software = upstream.SoftwareUnknown }},
		{name: "backing off for good", change: func(own *Engine) { own.BackingOff = true }, after: generatedFor},
		{name: "full for a second", change: func(own *Engine) { own.Running = own.Slots }, goesOnAt: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := NewScheduler()
			scheduler.Update([]OpenJob{testJob("j", 1, 1, noon)})
			it := scheduler.jobs["j"].items[0]
			it.beginsAt(upstream.Announcement{ID: "e0", Service: "s", Software: "v1"})
			it.appendEvent(Event{ID: 1, Data: "x", Version: 3})
			it.generatedFor = generatedFor
			for waited := time.Duration(0); ; waited += 100 * time.Millisecond {
				engines := testEngines(2, 8)
				engines[0].Upstream.Software, engines[1].Upstream.Software = "v1", "v2"
				if c.goesOnAt == 0 || waited < c.goesOnAt {
					c.change(&engines[0])
				}
				got := scheduler.Schedule(noon.Add(waited), engines)
				if len(got) == 0 {
					g.Expect(waited).To(BeNumerically("<", generatedFor))
					continue
				}
				if c.goesOnAt > 0 {
					g.Expect(waited).To(Equal(c.goesOnAt))
					g.Expect(it.lastEventID).To(Equal(1))
					g.Expect(got[0].Engine.ID).To(Equal("e0"))
					break
				}
				g.Expect(waited).To(Equal(c.after))
				g.Expect(it.lastEventID).To(BeZero())
				g.Expect(got[0].discarded).To(Equal(1))
				break
			}
		})
	}
}

// Guards against a text joined from two software versions because the engine started again
// under its id with another one, which its heartbeat says only later.
func TestEventsOfAnEngineThatStartedAgainWithOtherSoftwareAreDropped(t *testing.T) {
	engine := upstream.Announcement{ID: "e0", Service: "s", Incarnation: 1, Software: "v1"}
	for _, c := range []struct {
		name    string
		now     upstream.Announcement
		dropped bool
	}{
		{"same process", engine, false},
		{"started again, same version", upstream.Announcement{ID: "e0", Service: "s", Incarnation: 2, Software: "v1"}, false},
		{"started again, other version", upstream.Announcement{ID: "e0", Service: "s", Incarnation: 2, Software: "v2"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSession(&Runner{pool: restartedPool{now: c.now}, log: log.New(io.Discard)}, 1)
			s.resultCommitter = newCommitter(nil, s.log)
			it := newItemOf(testJob("j", 1, 1, noon))
			a := newAttempt(t.Context(), 1, it, engine, &s.output)
			for _, e := range testEvents(1, minProgressEvents, 3) {
				a.appendEvent(e)
			}
			s.attempts[it] = a
			s.commitProgress()
			nextProgress(t, s)
			a.err = result.New(result.AnswerCut, "connection reset")
			s.handleEndedAttempt(t.Context(), a)
			if !c.dropped {
				g.Expect(it.lastEventID).To(Equal(minProgressEvents))
				return
			}
			g.Expect(it.lastEventID).To(BeZero())
			replaced := nextProgress(t, s)
			g.Expect(replaced.After).To(BeZero())
			g.Expect(replaced.Events).To(BeEmpty(), "the next leader must not go on with them")
		})
	}
}

// restartedPool knows one engine.
type restartedPool struct {
	stubPool
	now upstream.Announcement
}

func (p restartedPool) Known() []upstream.Announcement { return []upstream.Announcement{p.now} }

// Guards against items that leave a slow engine for room that only another software version has,
// and lose their text.
func TestItemsLeaveASlowEngineOnlyForRoomAtTheirSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		software []string // of the slow engine, and of two fast ones
		events   int
		leaves   bool
	}{
		{"room at its version", []string{"v1", "v1", "v2"}, 3, true},
		{"room at another version", []string{"v1", "v2", "v2"}, 3, false},
		{"no text yet", []string{"v1", "v2", "v2"}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSession(&Runner{pool: &softwarePool{software: c.software}, log: log.New(io.Discard)}, 1)
			now := time.Now()
			for i, events := range []int{10, 1000, 1000} {
				s.speedTracker.Record(now, fmt.Sprint("e", i), events, 10*time.Second)
			}
			it := newItemOf(testJob("j", 1, 1, now))
			a := newAttempt(t.Context(), 1, it, s.pool.Known()[0], &s.output)
			a.startedAt = now.Add(-time.Minute)
			for _, e := range testEvents(1, c.events, 3) {
				a.appendEvent(e)
			}
			s.attempts[it] = a
			s.moveAttempts(now)
			g.Expect(a.ctx.Err() != nil).To(Equal(c.leaves))
		})
	}
}
