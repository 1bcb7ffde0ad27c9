package batch

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

var (
	itemsDone   = metrics.NewCounter(`apricotstream_items_total{outcome="completed"}`)
	itemsAbort  = metrics.NewCounter(`apricotstream_items_total{outcome="aborted"}`)
	itemRuns    = metrics.NewCounter("apricotstream_item_runs_total")
	itemResumes = metrics.NewCounter("apricotstream_item_resumes_total")
	itemMoves   = metrics.NewCounter("apricotstream_item_moves_total")
	itemSeconds = metrics.NewHistogram("apricotstream_item_seconds")
)

// session runs batch jobs in one term. Its goroutine owns the plan.
type session struct {
	*Runner
	term     uint64
	held     control.Leadership // newest lease of the term
	unlisted bool               // the open jobs have changed since they were read
	plan     *Plan
	paces    *Paces
	attempts map[*item]*attempt
	running  atomic.Int64         // len(attempts), for the attempts
	planned  time.Time            // newest look at the engines
	avoid    map[string]time.Time // engines to leave alone until then
	ended    chan *attempt
	scored   chan scored
	commit   *committer
	wg       sync.WaitGroup
}

func newSession(r *Runner, term uint64) *session {
	return &session{
		Runner: r, term: term, plan: NewPlan(), paces: NewPaces(), attempts: map[*item]*attempt{},
		avoid: map[string]time.Time{}, ended: make(chan *attempt, 256), scored: make(chan scored, 256),
	}
}

// run works until the term's leadership ends.
func (s *session) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	s.commit = newCommitter(s.replica, s.log)
	s.wg.Go(func() { s.commit.run(ctx) })
	defer func() {
		cancel()
		go s.discard()
		s.wg.Wait()
		close(s.ended)
	}()
	s.log.Info("Batch jobs are run here.", "term", s.term)
	changed := s.replica.BatchesChanged()
	if !s.list(ctx) {
		return
	}
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	paced := time.Now()
	for s.holds() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			changed = s.replica.BatchesChanged()
			s.unlisted = true
		case a := <-s.ended:
			s.take(ctx, a)
		case x := <-s.scored:
			s.takeScore(ctx, x)
		case <-tick.C:
		}
		leads := s.leads()
		if leads && s.unlisted {
			s.unlisted = !s.list(ctx)
		}
		now := time.Now()
		if now.Sub(paced) >= paceInterval {
			s.learn(now)
			s.save()
			s.move(now)
			paced = now
		}
		s.expire(now)
		if leads {
			s.start(ctx, now)
		}
	}
	s.log.Info("Batch jobs are no longer run here.", "term", s.term)
}

// discard lets attempts end that nobody waits for.
func (s *session) discard() {
	for range s.ended {
	}
}

// list brings the plan up to date with the replicated state.
func (s *session) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	open, err := s.replica.OpenBatches(ctx)
	if err != nil {
		s.log.Warn("Open batch jobs not read.", "term", s.term, "err", err.Error())
		return false
	}
	jobs := make([]OpenJob, 0, len(open))
	for _, o := range open {
		if s.plan.jobs[o.Batch.ID] == nil {
			s.log.Info("Batch job taken on.", "batch", o.Batch.ID, "items", len(o.Batch.Items), "listed", len(o.Listed), "min_version", o.Batch.MinVersion, "age_ms", time.Since(o.Batch.Accepted).Milliseconds())
			s.asked(o.Batch)
		}
		jobs = append(jobs, OpenJob(o))
	}
	for _, it := range s.plan.Update(jobs) {
		if a := s.attempts[it]; a != nil {
			a.cancel(result.New(result.Stopped, "the batch job ended"))
		}
		it.phase = finished
	}
	return true
}

// asked records the demand of a new batch job.
func (s *session) asked(b *state.Batch) {
	sums := map[string]int{}
	for i := range b.Items {
		sums[b.Items[i].Model] += max(b.Items[i].Hint, 1)
	}
	for model, tokens := range sums {
		s.pool.RecordDemand(model, tokens, b.MinVersion)
	}
}

func (s *session) start(ctx context.Context, now time.Time) {
	if s.plan.Waiting() == 0 || len(s.attempts) > gatherFrom && now.Sub(s.planned) < planInterval {
		return
	}
	s.planned = now
	for _, x := range s.plan.Next(now, s.view(now)) {
		a := newAttempt(ctx, x.item, x.Engine)
		s.attempts[x.item] = a
		s.running.Store(int64(len(s.attempts)))
		a.gen.ReadPause = func() time.Duration { return gatherPause(int(s.running.Load())) }
		itemRuns.Inc()
		if x.item.lastID > 0 {
			itemResumes.Inc()
		}
		s.wg.Go(func() {
			a.run(s.engines)
			s.ended <- a
		})
	}
}

// view describes the engines as of now.
func (s *session) view(now time.Time) []Engine {
	running := map[string]int{}
	for _, a := range s.attempts {
		running[a.engine.ID]++
	}
	pacing := s.paces.At(now)
	var out []Engine
	for _, u := range s.pool.Known() {
		out = append(out, Engine{
			Upstream: u, Slots: s.pool.Slots(u), Running: running[u.ID], Versions: s.pool.Versions(u),
			Loading: s.pool.Loading(u.ID), Avoid: now.Before(s.avoid[u.ID]), Slowness: pacing.Slowness(u.ID),
		})
	}
	return out
}

// Pauses after failures.
const (
	unreachedPause = time.Second            // an engine that cannot be reached
	busyPause      = 100 * time.Millisecond // an engine that refused
	failurePause   = 50 * time.Millisecond  // an item that failed
	scorePause     = 150 * time.Millisecond // a reward request that failed
)

// take deals with the end of an attempt.
func (s *session) take(ctx context.Context, a *attempt) {
	it := a.item
	delete(s.attempts, it)
	s.running.Store(int64(len(s.attempts)))
	if it.phase == finished {
		return
	}
	now := time.Now()
	for _, e := range a.events {
		it.record(e)
	}
	if len(a.events) > 0 {
		s.pool.Seen(a.engine.ID, it.spec.Model, a.events[len(a.events)-1].Version)
	}
	if !it.sound() {
		s.log.Info("Sample discarded for its versions.", "item", it.spec.ID, "batch", it.job.batch.ID, "versions", it.versions, "min", it.job.batch.MinVersion)
		it.restart()
		a.err = result.New(result.StaleVersion, "the sample has versions that its batch job does not allow")
	}
	if a.err == nil {
		it.phase = rewarding
		s.score(ctx, it)
		return
	}
	it.phase = waiting
	code := result.CodeOf(a.err)
	s.log.Info("Item run ended early.", "item", it.spec.ID, "batch", it.job.batch.ID, "upstream", a.engine.ID, "events", it.lastID, "ran_ms", now.Sub(a.began).Milliseconds(), "code", int(code), "err", result.From(a.err).Message)
	switch code {
	case result.UpstreamUnreached, result.UpstreamMoved:
		s.avoid[a.engine.ID] = now.Add(unreachedPause)
		it.notTo = a.engine.ID
	case result.UpstreamBusy:
		s.avoid[a.engine.ID] = now.Add(busyPause)
	case result.SampleRefused:
		s.abort(it, "refused by the upstream")
	case result.SampleFailed:
		it.failures++
		it.notTo = a.engine.ID
		it.after = now.Add(failurePause)
		if it.failures >= max(1, it.job.batch.MaxAttempts) {
			s.abort(it, "failed at every attempt")
		}
	case result.SampleMoved, result.StaleVersion:
		it.notTo = a.engine.ID
	default:
		it.notTo = a.engine.ID
		it.after = now.Add(failurePause)
	}
}

func (s *session) complete(it *item, score string) {
	s.log.Info("Sample complete.", "item", it.spec.ID, "batch", it.job.batch.ID, "group", it.spec.Group, "events", len(it.events), "versions", it.versions, "age_ms", time.Since(it.job.batch.Accepted).Milliseconds())
	itemsDone.Inc()
	itemSeconds.Update(time.Since(it.job.batch.Accepted).Seconds())
	r := state.BatchResult{Batch: it.job.batch.ID, Item: it.spec.ID, Text: strings.Join(it.events, "\n"), Versions: it.versions, Score: score}
	s.plan.Finish(it)
	s.commit.add(entry{result: &r})
}

func (s *session) abort(it *item, why string) {
	s.log.Warn("Item given up.", "item", it.spec.ID, "batch", it.job.batch.ID, "why", why, "failures", it.failures, "reward_failures", it.unscored)
	itemsAbort.Inc()
	if a := s.attempts[it]; a != nil {
		a.cancel(result.New(result.Stopped, "the item was given up"))
	}
	s.plan.Finish(it)
	s.commit.add(entry{result: &state.BatchResult{Batch: it.job.batch.ID, Item: it.spec.ID, Aborted: true}})
}

func (s *session) expire(now time.Time) {
	for _, it := range s.plan.Expired(now) {
		s.abort(it, "its lifetime has passed")
	}
}
