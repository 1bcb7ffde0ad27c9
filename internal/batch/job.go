package batch

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// abortMargin is added to the TTL of items before they are aborted, because the wall
// clocks of successive leaders differ.
const abortMargin = time.Second

// versionWait is the time for which a partial output waits for an engine to load its weight
// version.
const versionWait = 2 * time.Second

// job is an open batch job on the leader.
type job struct {
	batch           *state.Batch
	items           []*item
	unfinishedItems map[string]int // number of items without a result, by group
	groupSize       map[string]int // number of items, by group
}

// item is one request of a job that has no result yet.
type item struct {
	job             *job
	spec            *state.BatchItem
	phase           phase
	events          []string // data of the events received so far
	lastEventID     int
	committedEvents int            // number of events that are committed or queued for a commit
	versions        []uint64       // weight versions that produced events, in order of appearance
	origin          origin.Origin  // of the events received so far, if there are any
	generatedFor    time.Duration  // time of the attempts that produced these events
	overlong        int            // attempts since the latest event that exceeded the limit of the output
	failures        int            // attempts answered with 500
	rewardFailures  int            // reward requests answered with 500
	failedAt        map[string]int // attempts that failed or were moved, by upstream
	notBefore       time.Time      // end of the retry delay
	startedAt       time.Time      // start of the latest attempt
	relocatedTo     string         // engine that keeps a slot for it until relocatedUntil
	relocatedUntil  time.Time
	// versionMissingSince is the time since which no engine holds the weight version of the
	// partial output; zero if one does.
	versionMissingSince time.Time
	// originFullSince is the time since which no engine of the origin can continue the partial
	// output; zero if one can, or if there is no such engine.
	originFullSince time.Time
}

type phase int

const (
	phaseWaiting   phase = iota
	phaseRunning         // an attempt is in flight
	phaseRewarding       // the text is complete; its reward request is not
	phaseFinished        // the result is final, or the job has ended
)

func newJob(open OpenJob) *job {
	j := &job{batch: open.Batch, unfinishedItems: map[string]int{}, groupSize: map[string]int{}}
	for i := range open.Batch.Items {
		spec := &open.Batch.Items[i]
		j.groupSize[spec.Group]++
		if open.Listed[spec.ID] {
			continue
		}
		j.unfinishedItems[spec.Group]++
		it := &item{job: j, spec: spec, failedAt: map[string]int{}}
		it.restore(open.Partial[spec.ID])
		j.items = append(j.items, it)
	}
	return j
}

// deadline returns the time at which the results are due.
func (j *job) deadline() time.Time { return j.batch.Accepted.Add(j.batch.RunDeadline) }

// expiresAt returns the time from which items may be aborted.
func (j *job) expiresAt() time.Time { return j.batch.Accepted.Add(j.batch.ItemTTL + abortMargin) }

// appendEvent adds an event to the partial output of the item.
func (it *item) appendEvent(e Event) {
	it.events = append(it.events, e.Data)
	it.lastEventID = e.ID
	it.overlong = 0
	if !slices.Contains(it.versions, e.Version) {
		it.versions = append(it.versions, e.Version)
	}
}

// beginsAt records that an upstream has generated events. Only the first one sets the origin.
func (it *item) beginsAt(u upstream.Announcement) {
	if len(it.events) == 0 {
		it.origin = origin.Of(u)
	}
}

// mayContinueAt reports whether an upstream may generate the rest of the item's text.
func (it *item) mayContinueAt(u upstream.Announcement) bool {
	return len(it.events) == 0 || it.origin.Allows(u)
}

// reset discards the partial output, because its weight versions are not allowed or no
// engine can continue it.
func (it *item) reset() {
	it.events, it.versions, it.lastEventID, it.committedEvents = nil, nil, 0, 0
	it.origin, it.generatedFor = origin.Origin{}, 0
	it.versionMissingSince, it.originFullSince = time.Time{}, time.Time{}
	it.overlong = 0
}

// maxOverlongAttempts is the number of attempts in a row whose output exceeds the limit
// after which an item begins anew. Two upstreams in trouble do not cost it its output.
const maxOverlongAttempts = 3

// dropOverlong handles an attempt whose output exceeded its limit. Its events are dropped;
// those of earlier attempts are kept, so that the item resumes after the last of them.
// After maxOverlongAttempts they may themselves be what exceeds the limit, and the item
// begins anew. It returns the progress that replaces dropped events which were committed,
// or nil.
func (it *item) dropOverlong() *state.BatchProgress {
	committed := it.committedEvents
	if it.overlong++; it.overlong >= maxOverlongAttempts {
		it.reset()
	}
	return it.replaceCommitted(committed)
}

// replaceCommitted returns the progress that replaces the first committed events, some of
// which were dropped, or nil if none of them was.
func (it *item) replaceCommitted(committed int) *state.BatchProgress {
	if committed <= len(it.events) {
		return nil
	}
	it.committedEvents = len(it.events)
	return &state.BatchProgress{
		Batch: it.job.batch.ID, Item: it.spec.ID,
		Partial: state.Partial{Events: slices.Clone(it.events), LastID: it.lastEventID, Versions: slices.Clone(it.versions), Software: it.origin.Software},
	}
}

// assumedEventTime is the time that an event of a partial output is taken to have cost, if
// another leader received it.
const assumedEventTime = 30 * time.Millisecond

// restore resumes from the partial output that an earlier leader committed, unless its
// weight versions are not allowed or it exceeds its limit.
func (it *item) restore(p state.Partial) {
	it.events, it.versions = slices.Clone(p.Events), slices.Clone(p.Versions)
	it.lastEventID, it.committedEvents = p.LastID, len(p.Events)
	it.origin = origin.Origin{Service: it.job.batch.Service, Software: p.Software}
	it.generatedFor = time.Duration(len(p.Events)) * assumedEventTime
	if !it.versionsAllowed() || limitOf(it.spec).exceeded(len(it.events), textBytes(it.events)) {
		it.reset()
	}
}

// minProgressEvents is the number of new events from which the progress of an item is
// committed. Fewer events are not worth a commit: generating them again, or the rest of the
// item, takes about as long.
const minProgressEvents = 24

// takeProgress returns the progress to commit, given the events of the attempt in flight,
// and counts its events in committedEvents. It returns nil when there are fewer than
// minProgressEvents new events, or when the weight versions are not allowed.
func (it *item) takeProgress(inFlight []Event) *state.BatchProgress {
	if len(it.events)+len(inFlight)-it.committedEvents < minProgressEvents || it.committedEvents > len(it.events)+len(inFlight) {
		return nil
	}
	whole := item{job: it.job, events: slices.Clone(it.events), versions: slices.Clone(it.versions), lastEventID: it.lastEventID}
	for _, e := range inFlight {
		whole.appendEvent(e)
	}
	if !whole.versionsAllowed() {
		return nil
	}
	p := &state.BatchProgress{Batch: it.job.batch.ID, Item: it.spec.ID, After: it.committedEvents}
	p.Events, p.LastID, p.Versions, p.Software = whole.events[it.committedEvents:], whole.lastEventID, whole.versions, it.origin.Software
	it.committedEvents = len(whole.events)
	return p
}

// versionsAllowed reports whether the job allows the weight versions of the partial
// output: all of them at or above its minimum, and only one if it asks for a single one.
func (it *item) versionsAllowed() bool {
	if it.job.batch.SingleVersion && len(it.versions) > 1 {
		return false
	}
	for _, v := range it.versions {
		if v < it.job.batch.MinVersion {
			return false
		}
	}
	return true
}

// versionLost reports whether the partial output can't be continued: the job asks for a
// single weight version, no engine that still announces itself holds that of the output,
// and none with an older one has loaded it within versionWait.
func (it *item) versionLost(now time.Time, engines []Engine) bool {
	if !it.job.batch.SingleVersion || len(it.versions) == 0 {
		return false
	}
	mayLoad := false
	for _, e := range engines {
		if e.Upstream.Service != it.job.batch.Service || e.Upstream.Silent || !it.job.batch.Homes.Allows(e.Upstream.Region) {
			continue
		}
		switch v := e.Versions[it.spec.Model]; {
		case v == it.versions[0]:
			it.versionMissingSince = time.Time{}
			return false
		case v < it.versions[0]:
			mayLoad = true
		}
	}
	if it.versionMissingSince.IsZero() {
		it.versionMissingSince = now
	}
	return !mayLoad || now.Sub(it.versionMissingSince) >= versionWait
}

// originLost reports whether the partial output should not wait for an engine of its origin:
// no such engine announces itself, or none could continue it for as long as it took to
// generate. Beginning anew elsewhere then costs no more than waiting has.
func (it *item) originLost(now time.Time, engines []Engine) bool {
	if len(it.events) == 0 {
		return false
	}
	listed := slices.ContainsFunc(engines, func(e Engine) bool {
		return it.origin.Allows(e.Upstream) && it.job.batch.Homes.Allows(e.Upstream.Region)
	})
	if !listed {
		return true
	}
	if it.originFullSince.IsZero() {
		it.originFullSince = now
	}
	return now.Sub(it.originFullSince) >= it.generatedFor
}

// estimatedTokens returns the estimated length of the item: the caller's estimate of the
// output tokens or, if there is none, the maximum number of tokens of prompt and output.
func (it *item) estimatedTokens() int {
	if it.spec.Hint > 0 {
		return it.spec.Hint
	}
	return it.spec.Tokens
}
