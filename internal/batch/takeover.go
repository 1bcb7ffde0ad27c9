package batch

import (
	"context"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// outputCollector is implemented by Engines whose runs outlive the leader.
type outputCollector interface {
	// Collect returns the output of runs of the given batch jobs that an earlier leader began.
	Collect(ctx context.Context, term uint64, jobs []string) Collection
}

// takeOver adds the output of runs of earlier leaders to the items, before any of them is scheduled.
// Complete items get their reward request.
func (s *session) takeOver(ctx context.Context) {
	c, ok := s.engines.(outputCollector)
	var jobs []string
	for id, j := range s.scheduler.jobs {
		if len(j.items) > 0 {
			jobs = append(jobs, id)
		}
	}
	if !ok || len(jobs) == 0 {
		return
	}
	began := time.Now()
	got := c.Collect(ctx, s.term, jobs)
	if got.Asked == 0 {
		return
	}
	type key struct{ job, item string }
	outputs := map[key][]RetainedOutput{}
	for _, o := range got.Outputs {
		k := key{o.Job, o.Item}
		outputs[k] = append(outputs[k], o)
	}
	known := s.pool.Known()
	complete, events, items := 0, 0, 0
	for id, j := range s.scheduler.jobs {
		for _, it := range slices.Clone(j.items) { // completed items leave j.items
			text := joinOutputs(it, usableOutputs(it, outputs[key{id, it.spec.ID}], known))
			n := it.take(text)
			if events += n; n > 0 {
				items++
			}
			if text.complete {
				complete++
				it.phase = phaseRewarding
				s.score(ctx, it)
			}
		}
	}
	collectedEvents.Add(events)
	collectedTexts.Add(complete)
	s.log.Info("Output of carried runs collected.", "term", s.term, "carriers", got.Asked, "answered", got.Answered, "missing", got.Missing, "runs", len(got.Outputs), "complete", complete, "items", items, "events", events, "ms", time.Since(began).Milliseconds())
}

// usableOutputs returns the outputs that are of an item's request, and whose upstream does not announce
// another software version than before. A complete text of one run is of one process and stays, see
// dropDoubtful. While no upstream is known, no other output can be checked.
func usableOutputs(it *item, outputs []RetainedOutput, known []upstream.Announcement) []RetainedOutput {
	if len(outputs) == 0 {
		return nil
	}
	request := requestDigest(it.spec.Path, it.spec.Header, it.spec.Body)
	return slices.DeleteFunc(outputs, func(o RetainedOutput) bool {
		if o.Account != it.job.batch.Account || o.Request != request {
			return true
		}
		ofOneProcess := o.Complete && o.After == 0
		return !ofOneProcess && (len(known) == 0 || announceOtherSoftware(known, o.Upstream.announcement()))
	})
}
