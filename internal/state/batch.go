package state

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Batch is a batch job as it was submitted, with the results so far. Replicas
// keep all of it from its acceptance until KeepUntil.
type Batch struct {
	ID            string        `json:"id"`
	Account       string        `json:"account"`
	Host          string        `json:"host"`
	Path          string        `json:"path"`
	Service       string        `json:"service"`
	Model         string        `json:"model,omitempty"`
	Step          int           `json:"step"`
	MinVersion    uint64        `json:"min_version,omitempty"` // oldest weights that may produce a sample
	SingleVersion bool          `json:"single_version,omitempty"`
	Desired       int           `json:"desired,omitempty"` // groups that the trainer waits for
	MaxAttempts   int           `json:"max_attempts"`
	RunDeadline   time.Duration `json:"run_deadline"` // nanoseconds after Accepted
	ItemTTL       time.Duration `json:"item_ttl"`     // nanoseconds after Accepted
	Retention     time.Duration `json:"keep"`         // nanoseconds after Accepted
	Accepted      time.Time     `json:"accepted"`     // leader's wall clock
	Items         []BatchItem   `json:"items"`

	Ended   bool          `json:"ended,omitempty"`
	Results []BatchResult `json:"results,omitempty"` // in their final order
	// Partial holds what is known of the text of items without a result.
	Partial map[string]*Partial `json:"partial,omitempty"`

	index  map[string]int // item by id
	listed map[string]int // position of the result by item id
}

// BatchItem is one request of a batch job.
type BatchItem struct {
	ID     string  `json:"id"`
	Path   string  `json:"path"`
	Header []Field `json:"header,omitempty"` // sent to the upstream as they are
	Body   []byte  `json:"body,omitempty"`
	Group  string  `json:"group,omitempty"`
	Model  string  `json:"model,omitempty"`
	Prompt string  `json:"prompt,omitempty"` // names the part of the prompt that a group shares
	Tokens int     `json:"tokens,omitempty"` // prompt and longest output together
	Hint   int     `json:"hint,omitempty"`   // caller's estimate of output tokens; 0: none
	Reward *Reward `json:"reward,omitempty"`
}

// Field is one header field.
type Field struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Reward is the request that scores a complete sample.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// BatchResult is the final outcome of an item.
type BatchResult struct {
	Batch    string   `json:"batch,omitempty"` // only in commands
	Item     string   `json:"item"`
	Aborted  bool     `json:"aborted,omitempty"`
	Text     string   `json:"text,omitempty"`     // data of all events, separated by line feeds
	Versions []uint64 `json:"versions,omitempty"` // weight versions that produced the text
	Score    string   `json:"score,omitempty"`
}

// Partial is the beginning of an item's text.
type Partial struct {
	Events   []string `json:"events"`   // data of the events so far; only ever appended to
	LastID   int      `json:"last_id"`  // id of the last of them
	Versions []uint64 `json:"versions"` // weight versions that produced them
}

// BatchProgress adds to the known text of an item. It has no effect unless After
// events are known, or After is 0, which begins the text anew.
type BatchProgress struct {
	Batch string `json:"batch"`
	Item  string `json:"item"`
	After int    `json:"after"` // events known before
	Partial
}

// BatchAccept takes a batch job over.
type BatchAccept struct {
	Batch Batch `json:"batch"`
}

// BatchRecord appends results and known text; a result that is listed already
// changes nothing.
type BatchRecord struct {
	Results  []BatchResult   `json:"results,omitempty"`
	Progress []BatchProgress `json:"progress,omitempty"`
}

// BatchEnd ends a batch job.
type BatchEnd struct {
	ID      string `json:"id"`
	Account string `json:"account"`
}

// Item returns the item called id.
func (b *Batch) Item(id string) (*BatchItem, bool) {
	i, ok := b.index[id]
	if !ok {
		return nil, false
	}
	return &b.Items[i], true
}

// Listed reports whether the item has a result.
func (b *Batch) HasResult(item string) bool {
	_, ok := b.listed[item]
	return ok
}

// Open reports whether items may still run.
func (b *Batch) Open() bool { return !b.Ended && len(b.Results) < len(b.Items) }

// reindex fills in what is derived.
func (b *Batch) reindex() {
	b.index = make(map[string]int, len(b.Items))
	b.listed = make(map[string]int, len(b.Results))
	for i := range b.Items {
		b.index[b.Items[i].ID] = i
	}
	for i := range b.Results {
		b.listed[b.Results[i].Item] = i
	}
}

func (s *State) batchAccept(c *BatchAccept, at time.Time) Outcome {
	if old, ok := s.Ledger.Batches[c.Batch.ID]; ok {
		if old.Account != c.Batch.Account {
			return refuse(result.NotOwner, "the batch job belongs to another account")
		}
		return Outcome{}
	}
	b := c.Batch
	b.Accepted = at
	b.Results, b.Partial, b.Ended = nil, nil, false
	b.reindex()
	if len(b.index) != len(b.Items) || len(b.Items) == 0 {
		return refuse(result.BodyMalformed, "a batch job needs items with different ids")
	}
	s.Ledger.pruneBatches(at)
	s.Ledger.Batches[b.ID] = &b
	return Outcome{}
}

// pruneBatches forgets batch jobs that no caller may read any more. at is the
// command's time, so every replica forgets the same.
func (l *Ledger) pruneBatches(at time.Time) {
	for id, b := range l.Batches {
		if at.Sub(b.Accepted) > b.Retention && (!b.Open() || at.Sub(b.Accepted) > b.Retention+b.ItemTTL) {
			delete(l.Batches, id)
		}
	}
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
		b.listed[r.Item] = len(b.Results)
		b.Results = append(b.Results, r)
		delete(b.Partial, r.Item)
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
		b.Partial[p.Item] = &Partial{Events: p.Events, LastID: p.LastID, Versions: p.Versions}
	case old != nil && len(old.Events) == p.After:
		b.Partial[p.Item] = &Partial{Events: append(old.Events, p.Events...), LastID: p.LastID, Versions: p.Versions}
	}
}

func (s *State) batchEnd(c *BatchEnd) Outcome {
	b := s.Ledger.Batches[c.ID]
	if b == nil {
		return refuse(result.NotFound, "no batch job "+c.ID)
	}
	if b.Account != c.Account {
		return refuse(result.NotOwner, "the batch job belongs to another account")
	}
	b.Ended = true
	b.Partial = nil
	return Outcome{}
}
