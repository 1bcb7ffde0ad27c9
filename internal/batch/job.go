package batch

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

// abortMargin is added to an item's lifetime before it is given up: the wall
// clocks of successive leaders differ.
const abortMargin = time.Second

// job is an open batch job at the leader.
type job struct {
	batch *state.Batch
	items []*item
	left  map[string]int // items without a result, by group
	size  map[string]int // items by group
}

// item is one request of a job that has no result yet.
type item struct {
	job      *job
	spec     *state.BatchItem
	phase    phase
	events   []string // data of the events so far
	lastID   int
	saved    int      // events that the replicas hold
	versions []uint64 // that produced events, in order of appearance
	failures int      // answers of 500 in a row of runs
	unscored int      // reward requests answered with 500
	notTo    string   // upstream that last failed the item
	after    time.Time
	began    time.Time
}

type phase int

const (
	waiting   phase = iota
	running         // on an engine
	rewarding       // its text is complete
	finished        // its result is being committed
)

func newJob(open OpenJob) *job {
	j := &job{batch: open.Batch, left: map[string]int{}, size: map[string]int{}}
	for i := range open.Batch.Items {
		spec := &open.Batch.Items[i]
		j.size[spec.Group]++
		if open.Listed[spec.ID] {
			continue
		}
		j.left[spec.Group]++
		it := &item{job: j, spec: spec}
		it.adopt(open.Partial[spec.ID])
		j.items = append(j.items, it)
	}
	return j
}

// due is when the results are due.
func (j *job) due() time.Time { return j.batch.Accepted.Add(j.batch.RunDeadline) }

// expires is when items may be given up.
func (j *job) expires() time.Time { return j.batch.Accepted.Add(j.batch.ItemTTL + abortMargin) }

// record adds an event to the item's text.
func (it *item) record(e Event) {
	it.events = append(it.events, e.Data)
	it.lastID = e.ID
	if !slices.Contains(it.versions, e.Version) {
		it.versions = append(it.versions, e.Version)
	}
}

// restart drops the text, which no version bound allows any more.
func (it *item) restart() {
	it.events, it.versions, it.lastID, it.saved = nil, nil, 0, 0
}

// adopt goes on from the text that an earlier leader has saved, where its
// versions satisfy the job.
func (it *item) adopt(p state.Partial) {
	it.events, it.versions = slices.Clone(p.Events), slices.Clone(p.Versions)
	it.lastID, it.saved = p.LastID, len(p.Events)
	if !it.sound() {
		it.restart()
	}
}

// saveEvery is how many new events of an item are worth a commit: with fewer, an
// item ends, or is made again, about as soon.
const saveEvery = 24

// unsaved returns what a commit should add to the known text, given the events
// of the attempt under way; nil when that is too little.
func (it *item) unsaved(running []Event) *state.BatchProgress {
	if len(it.events)+len(running)-it.saved < saveEvery || it.saved > len(it.events)+len(running) {
		return nil
	}
	whole := item{job: it.job, events: slices.Clone(it.events), versions: slices.Clone(it.versions), lastID: it.lastID}
	for _, e := range running {
		whole.record(e)
	}
	if !whole.sound() {
		return nil
	}
	p := &state.BatchProgress{Batch: it.job.batch.ID, Item: it.spec.ID, After: it.saved}
	p.Events, p.LastID, p.Versions = whole.events[it.saved:], whole.lastID, whole.versions
	it.saved = len(whole.events)
	return p
}

// sound reports whether the versions of the text satisfy the job.
func (it *item) sound() bool {
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

// hint estimates the tokens that are still to come.
func (it *item) hint() int {
	if it.spec.Hint > 0 {
		return it.spec.Hint
	}
	return it.spec.Tokens
}
