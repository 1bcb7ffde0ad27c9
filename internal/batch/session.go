package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var (
	itemsCompleted = metrics.NewCounter(`apricotstream_items_total{outcome="completed"}`)
	itemsAborted   = metrics.NewCounter(`apricotstream_items_total{outcome="aborted"}`)
	itemAttempts   = metrics.NewCounter("apricotstream_item_runs_total")
	itemsBegunAnew = metrics.NewCounter("apricotstream_items_begun_anew_total")
	itemMoves      = metrics.NewCounter("apricotstream_item_moves_total")
	itemSeconds    = metrics.NewHistogram("apricotstream_item_seconds")
)

// itemResumes counts the attempts that went on after events of earlier ones.
func itemResumes(sameSoftware bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`apricotstream_item_resumes_total{same_software="%t"}`, sameSoftware))
}

// session runs batch jobs in one term. Only the goroutine of run uses the scheduler.
type session struct {
	*Runner
	term            uint64
	lastLease       control.Leadership // latest leader lease of the term
	jobsChanged     bool               // the open jobs have changed since they were last read
	scheduler       *Scheduler
	speedTracker    *SpeedTracker
	lengthTracker   *LengthTracker
	relocating      map[*item]bool // items on their way to an engine that keeps a slot for them
	attempts        map[*item]*attempt
	output          outputBudget
	lastScheduled   time.Time            // time of the latest scheduling
	backoffUntil    map[string]time.Time // time until which an engine gets no items, by upstream
	endedAttempts   chan *attempt
	rewardResult    chan rewardResult
	resultCommitter *committer
	jobs            map[string]jobContext // by batch job; of those with work in flight
	wg              sync.WaitGroup
}

// jobContext is the context of the work that a batch job has started.
type jobContext struct {
	ctx context.Context
	end context.CancelCauseFunc
}

func newSession(r *Runner, term uint64) *session {
	return &session{
		Runner: r, term: term, scheduler: NewScheduler(), speedTracker: NewSpeedTracker(), lengthTracker: NewLengthTracker(), relocating: map[*item]bool{}, attempts: map[*item]*attempt{},
		backoffUntil: map[string]time.Time{}, endedAttempts: make(chan *attempt, 256), rewardResult: make(chan rewardResult, 256), jobs: map[string]jobContext{},
	}
}

// run runs batch jobs until the leadership of the term or ctx ends.
func (s *session) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	s.resultCommitter = newCommitter(s.replica, s.log)
	s.wg.Go(func() { s.resultCommitter.run(ctx) })
	defer func() {
		cancel()
		go s.drainEndedAttempts()
		s.wg.Wait()
		close(s.endedAttempts)
	}()
	s.log.Info("Started running batch jobs as leader.", "term", s.term)
	changed := s.replica.BatchesChanged()
	if !s.reconcileJobs(ctx) {
		return
	}
	s.takeOver(ctx)
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	lastMaintenance := time.Now()
	for s.mayContinue() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			changed = s.replica.BatchesChanged()
			s.jobsChanged = true
		case a := <-s.endedAttempts:
			s.handleEndedAttempt(ctx, a)
		case x := <-s.rewardResult:
			s.handleRewardResult(ctx, x)
		case <-ticker.C:
		}
		isLeader := s.isLeader()
		if isLeader && s.jobsChanged {
			s.jobsChanged = !s.reconcileJobs(ctx)
		}
		now := time.Now()
		if now.Sub(lastMaintenance) >= maintenanceInterval {
			s.recordSpeeds(now)
			s.commitProgress()
			s.moveAttempts(now)
			lastMaintenance = now
		}
		s.abortExpired(now)
		if isLeader {
			s.start(ctx, now)
		}
	}
	s.log.Info("Stopped running batch jobs as leader.", "term", s.term)
}

// drainEndedAttempts receives attempts that end after the session, so that their
// goroutines can exit.
func (s *session) drainEndedAttempts() {
	for range s.endedAttempts {
	}
}

// reconcileJobs updates the scheduler to the open jobs of the replicated state. It returns
// false if the open jobs could not be read.
func (s *session) reconcileJobs(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listJobsTimeout)
	defer cancel()
	open, err := s.replica.OpenBatches(ctx)
	if err != nil {
		s.log.Warn("Could not read the open batch jobs.", "term", s.term, "err", err.Error())
		return false
	}
	jobs := make([]OpenJob, 0, len(open))
	for _, o := range open {
		if s.scheduler.jobs[o.Batch.ID] == nil {
			s.log.Info("Batch job added to the scheduler.", "batch", o.Batch.ID, "items", len(o.Batch.Items), "listed", len(o.Listed), "min_version", o.Batch.MinVersion, "age_ms", time.Since(o.Batch.Accepted).Milliseconds())
			s.recordDemand(o.Batch)
		}
		jobs = append(jobs, OpenJob(o))
	}
	for _, it := range s.scheduler.Update(jobs) {
		if a := s.attempts[it]; a != nil {
			a.cancel(errJobEnded)
		}
		it.phase = phaseFinished
	}
	for id, j := range s.jobs {
		if s.scheduler.jobs[id] == nil {
			j.end(errJobEnded)
			delete(s.jobs, id)
		}
	}
	return true
}

// errJobEnded is why work ends with its batch job.
var errJobEnded = result.New(result.Stopped, "the batch job ended")

// jobContext returns the context of the work of a batch job, which ends with the job and with
// parent, the context of the session.
func (s *session) jobContext(parent context.Context, j *job) context.Context {
	c, ok := s.jobs[j.batch.ID]
	if !ok {
		c.ctx, c.end = context.WithCancelCause(parent)
		s.jobs[j.batch.ID] = c
	}
	return c.ctx
}

// recordDemand adds the tokens of a new batch job to the demand of its models. An item
// without a length hint counts as one token.
func (s *session) recordDemand(b *state.Batch) {
	sums := map[string]int{}
	for i := range b.Items {
		sums[b.Items[i].Model] += max(b.Items[i].Hint, 1)
	}
	for model, tokens := range sums {
		s.pool.RecordDemand(model, tokens, b.MinVersion)
	}
}

// start schedules waiting items and starts an attempt for each assignment.
func (s *session) start(ctx context.Context, now time.Time) {
	if s.scheduler.CountWaiting() == 0 && now.Sub(s.lastScheduled) < maintenanceInterval || len(s.attempts) > maxAttemptsWithoutPause && now.Sub(s.lastScheduled) < scheduleInterval {
		return
	}
	s.lastScheduled = now
	engines := outsideEvacuatedZones(s.engineStates(now))
	s.relocate(now, engines)
	for _, x := range s.scheduler.Schedule(now, engines) {
		startBy := takeTurn(s.pool, x.Engine)
		a := newAttempt(ctx, s.term, x.item, x.Engine, &s.output)
		a.request.StartBy = startBy
		s.attempts[x.item] = a
		s.output.attempts.Store(int64(len(s.attempts)))
		itemAttempts.Inc()
		s.recordResume(x)
		s.wg.Go(func() {
			a.run(s.engines)
			s.endedAttempts <- a
		})
	}
}

// recordResume counts and logs that an item with events goes on at an engine, or begins anew.
func (s *session) recordResume(x Assignment) {
	it := x.item
	fields := []any{"item", it.spec.ID, "batch", it.job.batch.ID, "upstream", x.Engine.ID, "incarnation", x.Engine.Incarnation, "software", x.Engine.Software}
	switch {
	case x.discarded > 0:
		itemsBegunAnew.Inc()
		s.log.Info("Item begins anew: no engine could continue it.", append(fields, "discarded", x.discarded)...)
	case it.lastEventID > 0:
		itemResumes(it.mayContinueAt(x.Engine)).Inc()
		s.log.Info("Item goes on.", append(fields, "events", it.lastEventID, "origin", it.origin.Software)...)
	}
}

// engineStates returns the state of all known engines.
func (s *session) engineStates(now time.Time) []Engine {
	running := map[string]int{}
	for _, a := range s.attempts {
		running[a.engine.ID]++
	}
	speeds := s.speedTracker.At(now)
	uneven := map[string]bool{} // by service
	var out []Engine
	for _, u := range s.pool.Known() {
		if _, ok := uneven[u.Service]; !ok {
			uneven[u.Service] = s.pool.Uneven(u.Service)
		}
		turns, namesRate := s.pool.Turns(u)
		out = append(out, Engine{
			NamesRate: namesRate, Turns: turns,
			Upstream: u, Slots: s.pool.Slots(u), Running: running[u.ID], Versions: s.pool.Versions(u),
			Loading: s.pool.Loading(u.ID), BackingOff: now.Before(s.backoffUntil[u.ID]), Slowness: speeds.Slowness(u.ID),
		})
		if e := &out[len(out)-1]; uneven[u.Service] {
			e.SecondsPerEvent = speeds.Pace(u.ID)
		}
	}
	return out
}

// outsideEvacuatedZones returns the engines that may get items.
func outsideEvacuatedZones(engines []Engine) []Engine {
	return slices.DeleteFunc(engines, func(e Engine) bool { return e.Upstream.Evacuated })
}

// Delays after failures.
const (
	unreachedBackoff = time.Second            // of an engine that could not be reached or sent no sound event
	busyBackoff      = 100 * time.Millisecond // of an engine that rejected a request
	itemRetryDelay   = 50 * time.Millisecond  // of an item whose attempt failed
	rewardRetryDelay = 150 * time.Millisecond // of a reward request that failed
)

// handleEndedAttempt adds the events of an ended attempt to its item. A complete item gets
// its reward request; any other one is scheduled again or aborted.
func (s *session) handleEndedAttempt(ctx context.Context, a *attempt) {
	it := a.item
	delete(s.attempts, it)
	s.output.attempts.Store(int64(len(s.attempts)))
	s.output.release(a.memory)
	if it.phase == phaseFinished {
		return
	}
	now := time.Now()
	s.dropDoubtful(a)
	if len(a.events) > 0 {
		it.beginsAt(a.engine)
		it.generatedFor += now.Sub(a.startedAt)
	}
	for _, e := range a.events {
		it.appendEvent(e)
	}
	if len(a.events) > 0 {
		s.pool.Seen(a.engine.ID, it.spec.Model, a.events[len(a.events)-1].Version)
	}
	if !it.versionsAllowed() {
		s.log.Info("Item output discarded because of its weight versions.", "item", it.spec.ID, "batch", it.job.batch.ID, "versions", it.versions, "min", it.job.batch.MinVersion)
		it.reset()
		a.err = result.New(result.StaleVersion, "the batch job does not allow the weight versions of the output")
	}
	if a.err == nil {
		it.phase = phaseRewarding
		s.score(ctx, it)
		return
	}
	it.phase = phaseWaiting
	code := result.CodeOf(a.err)
	if a.overlong != nil {
		if p := it.dropOverlong(); p != nil {
			s.resultCommitter.add(pendingRecord{progress: p})
		}
	}
	s.log.Info("Item attempt failed or was cancelled.", "item", it.spec.ID, "batch", it.job.batch.ID, "upstream", a.engine.ID, "events", it.lastEventID, "ran_ms", now.Sub(a.startedAt).Milliseconds(), "code", int(code), "err", result.From(a.err).Message)
	switch code {
	case result.UpstreamUnreached, result.UpstreamMoved, result.UpstreamTimeout:
		s.backoffUntil[a.engine.ID] = now.Add(unreachedBackoff)
		it.failedAt[a.engine.ID]++
	case result.UpstreamBusy:
		s.backoffUntil[a.engine.ID] = now.Add(busyBackoff)
	case result.SampleRefused:
		s.abortItem(it, "the upstream rejected it")
	case result.SampleFailed:
		it.failures++
		it.failedAt[a.engine.ID]++
		it.notBefore = now.Add(itemRetryDelay)
		if it.failures >= max(1, it.job.batch.MaxAttempts) {
			s.abortItem(it, "it failed at every attempt")
		}
	case result.SampleMoved, result.StaleVersion:
		it.failedAt[a.engine.ID]++
	default:
		if code == result.AnswerCut && len(a.events) == 0 {
			s.backoffUntil[a.engine.ID] = now.Add(unreachedBackoff)
		}
		it.failedAt[a.engine.ID]++
		it.notBefore = now.Add(itemRetryDelay)
	}
}

// dropDoubtful drops the events of an attempt whose engine announces another software version
// than before, for example because it has started again under its id: either version may have
// generated them. A complete text of one attempt is of one process, and stays.
func (s *session) dropDoubtful(a *attempt) {
	it := a.item
	if len(a.events) == 0 || a.err == nil && len(it.events) == 0 || !s.announcesOtherSoftware(a.engine) {
		return
	}
	s.log.Warn("Events dropped: the engine announces another software version.", "item", it.spec.ID, "batch", it.job.batch.ID,
		"upstream", a.engine.ID, "incarnation", a.engine.Incarnation, "software", a.engine.Software, "events", len(a.events))
	a.events = nil
	if a.err == nil {
		a.err = result.New(result.SampleMoved, "the engine announces another software version")
	}
	if p := it.replaceCommitted(it.committedEvents); p != nil {
		s.resultCommitter.add(pendingRecord{progress: p})
	}
}

// announcesOtherSoftware reports whether an engine announces another software version than it
// did when the attempt was sent there.
func (s *session) announcesOtherSoftware(engine upstream.Announcement) bool {
	return announceOtherSoftware(s.pool.Known(), engine)
}

func announceOtherSoftware(known []upstream.Announcement, engine upstream.Announcement) bool {
	return slices.ContainsFunc(known, func(u upstream.Announcement) bool {
		return u.ID == engine.ID && u.Incarnation >= engine.Incarnation && u.Software != engine.Software
	})
}

// completeItem queues the result of an item for the commit.
func (s *session) completeItem(it *item, score string) {
	s.log.Info("Item completed.", "item", it.spec.ID, "batch", it.job.batch.ID, "group", it.spec.Group, "events", len(it.events), "versions", it.versions, "age_ms", time.Since(it.job.batch.Accepted).Milliseconds())
	itemsCompleted.Inc()
	itemSeconds.Update(time.Since(it.job.batch.Accepted).Seconds())
	s.lengthTracker.Record(it.spec.Model, len(it.events))
	r := state.BatchResult{Batch: it.job.batch.ID, Item: it.spec.ID, Text: strings.Join(it.events, "\n"), Versions: it.versions, Score: score}
	s.scheduler.Finish(it)
	s.resultCommitter.add(pendingRecord{result: &r})
}

// abortItem cancels the attempt of an item and queues an aborted result for the commit.
func (s *session) abortItem(it *item, reason string) {
	s.log.Warn("Item aborted.", "item", it.spec.ID, "batch", it.job.batch.ID, "why", reason, "failures", it.failures, "reward_failures", it.rewardFailures)
	itemsAborted.Inc()
	if a := s.attempts[it]; a != nil {
		a.cancel(result.New(result.Stopped, "the item was aborted"))
	}
	s.scheduler.Finish(it)
	s.resultCommitter.add(pendingRecord{result: &state.BatchResult{Batch: it.job.batch.ID, Item: it.spec.ID, Aborted: true}})
}

func (s *session) abortExpired(now time.Time) {
	for _, it := range s.scheduler.Expired(now) {
		s.abortItem(it, "its TTL has passed")
	}
}
