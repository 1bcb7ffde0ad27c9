package state

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Batch is a batch job as it was submitted, with its results so far. Replicas retain it until it has
// ended, and then for at least Retention after its acceptance and EndedRetention after its end, longer
// while there is room. Only if the retained jobs exceed a bound, the oldest ones are discarded before, but
// not within Retention after their acceptance.
type Batch struct {
	ID            string        `json:"id"`
	Account       string        `json:"account"`
	Host          string        `json:"host"`
	Path          string        `json:"path"`
	Service       string        `json:"service"`
	Model         string        `json:"model,omitempty"`
	Step          int           `json:"step"`
	MinVersion    uint64        `json:"min_version,omitempty"` // oldest weight version that may produce a sample
	SingleVersion bool          `json:"single_version,omitempty"`
	Desired       int           `json:"desired,omitempty"` // number of groups that the trainer waits for
	MaxAttempts   int           `json:"max_attempts"`
	RunDeadline   time.Duration `json:"run_deadline"` // nanoseconds after Accepted
	ItemTTL       time.Duration `json:"item_ttl"`     // nanoseconds after Accepted
	Retention     time.Duration `json:"keep"`         // nanoseconds after Accepted
	Accepted      time.Time     `json:"accepted"`     // time of the control group
	// EndedRetention is in nanoseconds after the end. It needs member.Level 3. Jobs without it are
	// discarded Retention after their acceptance, whether they have ended or not.
	EndedRetention time.Duration `json:"keep_ended,omitempty"`
	Items          []BatchItem   `json:"items"`
	// Homes holds the regions that may serve the job, as they were when it was submitted; nil: any.
	// It needs member.Level 2.
	Homes *homes.Homes `json:"homes,omitempty"`

	Ended   bool          `json:"ended,omitempty"`
	EndedAt time.Time     `json:"ended_at,omitzero"` // time of the control group; zero without EndedRetention
	Results []BatchResult `json:"results,omitempty"` // in final order
	// Partial holds the known partial output of items without a result, by item ID.
	Partial map[string]*Partial `json:"partial,omitempty"`

	itemIndex   map[string]int // index in Items by item ID
	resultIndex map[string]int // index in Results by item ID
	bytes       int            // see RetainedBytes
	hasBodies   bool           // an item has a body
}

// BatchItem is one request of a batch job.
type BatchItem struct {
	ID     string  `json:"id"`
	Path   string  `json:"path"`
	Header []Field `json:"header,omitempty"` // sent to the upstream unchanged
	Body   []byte  `json:"body,omitempty"`
	Group  string  `json:"group,omitempty"`
	Model  string  `json:"model,omitempty"`
	Prompt string  `json:"prompt,omitempty"` // identifies the part of the prompt that a group shares
	Tokens int     `json:"tokens,omitempty"` // of the prompt and the longest output together
	Hint   int     `json:"hint,omitempty"`   // caller's estimate of the output tokens; 0 if there is none
	Reward *Reward `json:"reward,omitempty"`
}

// Field is an HTTP header field.
type Field struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Reward is the HTTP request that scores a complete sample.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// BatchResult is the final outcome of an item.
type BatchResult struct {
	Batch    string   `json:"batch,omitempty"` // batch job ID; only set in commands
	Item     string   `json:"item"`
	Aborted  bool     `json:"aborted,omitempty"`
	Text     string   `json:"text,omitempty"`     // data of all events, separated by newlines
	Versions []uint64 `json:"versions,omitempty"` // weight versions that produced the text
	Score    string   `json:"score,omitempty"`
}

// Partial is the partial output of an item.
type Partial struct {
	Events   []string `json:"events"`   // data of the events so far; append-only
	LastID   int      `json:"last_id"`  // ID of the last of these events
	Versions []uint64 `json:"versions"` // weight versions that produced these events
	// Software is the software version of the upstreams that produced these events. Only the
	// same one may produce the next.
	Software string `json:"software,omitempty"`
}

// BatchProgress appends to the partial output of an item if exactly After events are known
// so far, and has no effect otherwise. If After is 0, it replaces the partial output
// instead. It has no effect on an ended batch job or on an item that has a result.
type BatchProgress struct {
	Batch string `json:"batch"`
	Item  string `json:"item"`
	After int    `json:"after"` // number of events before these
	Partial
}

// BatchAccept accepts a batch job. If the same account has submitted the job before, it
// changes nothing.
type BatchAccept struct {
	Batch Batch `json:"batch"`
	// RetainedLimit bounds the RetainedBytes of all jobs, see Batch. The leader sets it for jobs with
	// EndedRetention. 0: no bound.
	RetainedLimit int `json:"retained_limit,omitempty"`
}

// BatchRecord appends results and partial output. A result for an item that already has
// one is ignored.
type BatchRecord struct {
	Results  []BatchResult   `json:"results,omitempty"`
	Progress []BatchProgress `json:"progress,omitempty"`
}

// BatchEnd ends a batch job and discards its partial output.
type BatchEnd struct {
	ID      string `json:"id"`
	Account string `json:"account"`
}

// Item returns the item with this ID.
func (b *Batch) Item(id string) (*BatchItem, bool) {
	i, ok := b.itemIndex[id]
	if !ok {
		return nil, false
	}
	return &b.Items[i], true
}

// HasResult reports whether the item has a result.
func (b *Batch) HasResult(item string) bool {
	_, ok := b.resultIndex[item]
	return ok
}

// Open reports whether items may still run.
func (b *Batch) Open() bool { return !b.Ended && !b.complete() }

// complete reports whether all items have a result.
func (b *Batch) complete() bool { return len(b.Results) == len(b.Items) }

// Allowances of encodedSizeHint for what has no text or body of its own, such as names of fields.
const (
	batchFrameBytes = 1 << 10
	itemFrameBytes  = 96
)

// encodedSizeHint returns about the size of the encoded job, rarely less. A buffer of this size need not grow
// while the job is encoded: buffers that do take several times the size of a large job.
func (b *Batch) encodedSizeHint() int {
	n := batchFrameBytes + len(b.Model) + len(b.Path) + len(b.Host)
	for i := range b.Items {
		n += itemFrameBytes + b.Items[i].contentBytes()
	}
	for i := range b.Results {
		n += itemFrameBytes + len(b.Results[i].Text) + len(b.Results[i].Score)
	}
	for _, p := range b.Partial {
		n += itemFrameBytes
		for _, e := range p.Events {
			n += len(e) + 5
		}
	}
	return n
}

// contentBytes returns about the encoded size of an item, without a frame.
func (it *BatchItem) contentBytes() int {
	n := len(it.ID) + len(it.Path) + len(it.Body) + len(it.Group) + len(it.Model) + len(it.Prompt)
	for _, f := range it.Header {
		n += len(f.Name) + len(f.Value) + 16
	}
	if r := it.Reward; r != nil {
		n += itemFrameBytes + len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body)
	}
	return n
}

// buildIndexes fills in the derived fields.
func (b *Batch) buildIndexes() {
	b.itemIndex = make(map[string]int, len(b.Items))
	b.resultIndex = make(map[string]int, len(b.Results))
	for i := range b.Items {
		b.itemIndex[b.Items[i].ID] = i
	}
	for i := range b.Results {
		b.resultIndex[b.Results[i].Item] = i
	}
	b.measure()
}

func (s *State) batchAccept(c *BatchAccept, at time.Time) Outcome {
	if old, ok := s.Ledger.Batches[c.Batch.ID]; ok {
		if old.Account != c.Batch.Account {
			return reject(result.NotOwner, "the batch job belongs to another account")
		}
		return Outcome{}
	}
	b := c.Batch
	b.Accepted = at
	b.Results, b.Partial, b.Ended, b.EndedAt = nil, nil, false, time.Time{}
	b.buildIndexes()
	if len(b.itemIndex) != len(b.Items) || len(b.Items) == 0 {
		return reject(result.BodyMalformed, "a batch job needs items with different ids")
	}
	s.Ledger.Batches[b.ID] = &b
	s.Ledger.pruneBatches(at, c.RetainedLimit)
	return Outcome{}
}

func (s *State) batchRecord(c *BatchRecord) Outcome {
	for _, r := range c.Results {
		b := s.Ledger.Batches[r.Batch]
		if b == nil || b.HasResult(r.Item) {
			continue
		}
		if _, ok := b.Item(r.Item); !ok {
			continue
		}
		r.Batch = ""
		b.resultIndex[r.Item] = len(b.Results)
		b.Results = append(b.Results, r)
		b.bytes += r.retainedBytes()
		delete(b.Partial, r.Item)
		if b.EndedRetention > 0 && b.complete() && !b.Ended {
			b.dropRequests(true)
		}
	}
	for i := range c.Progress {
		s.batchProgress(&c.Progress[i])
	}
	return Outcome{}
}

func (s *State) batchProgress(p *BatchProgress) {
	b := s.Ledger.Batches[p.Batch]
	if b == nil || b.Ended || b.HasResult(p.Item) {
		return
	}
	if _, ok := b.Item(p.Item); !ok {
		return
	}
	old := b.Partial[p.Item]
	switch {
	case p.After == 0:
		if b.Partial == nil {
			b.Partial = map[string]*Partial{}
		}
		b.Partial[p.Item] = &Partial{Events: p.Events, LastID: p.LastID, Versions: p.Versions, Software: p.Software}
	case old != nil && len(old.Events) == p.After:
		b.Partial[p.Item] = &Partial{Events: append(old.Events, p.Events...), LastID: p.LastID, Versions: p.Versions, Software: p.Software}
	}
}

func (s *State) batchEnd(c *BatchEnd, at time.Time) Outcome {
	b := s.Ledger.Batches[c.ID]
	if b == nil {
		return reject(result.NotFound, "no batch job "+c.ID)
	}
	if b.Account != c.Account {
		return reject(result.NotOwner, "the batch job belongs to another account")
	}
	if !b.Ended {
		b.Ended = true
		if b.EndedRetention > 0 {
			b.EndedAt = at
		}
		b.Partial = nil
		b.dropRequests(false)
	}
	return Outcome{}
}

// dropRequests discards what is needed only to run the items of a job that has ended or is complete: all
// but the bodies of items without a result, and of the others if listedBodies is set. Results are
// retained for minutes or longer, and the requests are about as large. The items are replaced, not
// changed, because a frozen state may share them.
func (b *Batch) dropRequests(listedBodies bool) {
	items := make([]BatchItem, len(b.Items))
	for i, it := range b.Items {
		items[i] = BatchItem{ID: it.ID}
		if listedBodies || !b.HasResult(it.ID) {
			items[i].Body = it.Body
		}
	}
	b.Items = items
	b.measure()
}
