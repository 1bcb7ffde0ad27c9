package state

import "time"

// Ledger is the part of the state that stays on the replicas.
type Ledger struct {
	Time       time.Time // of the control group at the newest command
	Claims     map[ClaimID]Claim
	ClaimOrder []ClaimID // ordered by first claim, oldest first
	Steps      map[string]Step
	Orders     map[string]Order
	LastOrder  uint64                 // Seq of the newest order
	Sources    map[string]UsageSource // by incarnation of the entry daemon
	Pending    []Usage                // usage that is in no window yet
	Windows    map[uint64]Window
	LastWindow uint64
	LastEnd    time.Time            // end of LastWindow
	Ops        map[string]Operation // by operation ID, for resent commands
	OpOrder    []string             // operation IDs, oldest first
	History    map[string][]Edit    // accepted edits, by service
	Batches    map[string]*Batch
	Intervals  map[uint64]Interval
	Source     RoutingSource
	Retired    map[string]bool // replicas being retired, by replica ID

	discarded []DiscardedBatch // by the newest command; not encoded
}

// Edit is one accepted edit of a service document.
type Edit struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Text    string    `json:"text"`
}

// Operation is an applied command with its outcome.
type Operation struct {
	CommandHash uint64  `json:"sum"` // contentHash of the command
	Outcome     Outcome `json:"outcome"`
}

// Bounds of what the ledger retains.
const (
	maxOperations       = 10000 // operations with their outcome
	maxEditsPerDocument = 50    // edits of one service document
)

func newLedger() *Ledger {
	return &Ledger{
		Claims:  map[ClaimID]Claim{},
		Steps:   map[string]Step{},
		Orders:  map[string]Order{},
		Sources: map[string]UsageSource{},
		Windows: map[uint64]Window{},
		Ops:     map[string]Operation{},
		History: map[string][]Edit{},
		Batches: map[string]*Batch{}, Intervals: map[uint64]Interval{}, Retired: map[string]bool{},
	}
}

func (l *Ledger) putClaim(c Claim) {
	if _, ok := l.Claims[c.ID]; !ok {
		l.ClaimOrder = append(l.ClaimOrder, c.ID)
	}
	l.Claims[c.ID] = c
}

// recordOperation stores the outcome of an operation. It discards the oldest operation if
// there are more than maxOperations.
func (l *Ledger) recordOperation(op string, o Operation) {
	l.Ops[op] = o
	l.OpOrder = append(l.OpOrder, op)
	if len(l.OpOrder) > maxOperations {
		delete(l.Ops, l.OpOrder[0])
		l.OpOrder = l.OpOrder[1:]
	}
}

// ledgerImage is the encoded form of a ledger in a snapshot, without derived fields.
type ledgerImage struct {
	Time       time.Time              `json:"time,omitzero"`
	Claims     []Claim                `json:"claims"`
	Steps      map[string]Step        `json:"steps"`
	Orders     map[string]Order       `json:"orders"`
	LastOrder  uint64                 `json:"last_order"`
	Sources    map[string]UsageSource `json:"usage_sources"`
	Pending    []Usage                `json:"pending"`
	Windows    map[uint64]Window      `json:"windows"`
	LastWindow uint64                 `json:"last_window"`
	LastEnd    time.Time              `json:"last_end"`
	Ops        map[string]Operation   `json:"ops"`
	OpOrder    []string               `json:"op_order"`
	History    map[string][]Edit      `json:"history"`
	Batches    map[string]*Batch      `json:"batches,omitempty"`
	Intervals  map[uint64]Interval    `json:"intervals,omitempty"`
	Source     RoutingSource          `json:"routing_source"`
	Retired    map[string]bool        `json:"retired,omitempty"`
}

func (l *Ledger) image() ledgerImage {
	im := ledgerImage{
		Time: l.Time, Steps: l.Steps, Orders: l.Orders, LastOrder: l.LastOrder, Sources: l.Sources, Pending: l.Pending, Windows: l.Windows,
		LastWindow: l.LastWindow, LastEnd: l.LastEnd, Ops: l.Ops, OpOrder: l.OpOrder, History: l.History,
		Batches: l.Batches, Intervals: l.Intervals, Source: l.Source, Retired: l.Retired,
	}
	for _, id := range l.ClaimOrder {
		im.Claims = append(im.Claims, l.Claims[id])
	}
	return im
}

// ledger returns the ledger with the contents of im.
func (im ledgerImage) ledger() *Ledger {
	l := &Ledger{
		Time: im.Time, Claims: map[ClaimID]Claim{}, Steps: im.Steps, Orders: im.Orders, LastOrder: im.LastOrder, Sources: im.Sources, Pending: im.Pending,
		Windows: im.Windows, LastWindow: im.LastWindow, LastEnd: im.LastEnd, Ops: im.Ops, OpOrder: im.OpOrder, History: im.History,
		Batches: im.Batches, Intervals: im.Intervals, Source: im.Source, Retired: im.Retired,
	}
	for _, b := range l.Batches {
		b.buildIndexes()
	}
	for _, c := range im.Claims {
		l.putClaim(c)
	}
	return l
}
