package state

import (
	"maps"

	"github.com/apricotstream/apricotstream/internal/result"
)

// State is the whole state machine. One goroutine owns it; Config values taken
// from it may be read by any.
type State struct {
	Config *Config
	Ledger *Ledger
}

// New returns an empty state.
func New() *State {
	return &State{Config: NewConfig(), Ledger: newLedger()}
}

// Decode reads a snapshot.
func Decode(b []byte) (*State, error) {
	im := image{Config: NewConfig(), Ledger: newLedger().image()}
	if err := unmarshal(b, &im); err != nil {
		return nil, result.New(result.DataCorrupt, "snapshot: %v", err)
	}
	if im.Ledger.Batches == nil {
		im.Ledger.Batches = map[string]*Batch{}
	}
	maps.Copy(im.Ledger.Batches, im.Batches)
	s := &State{Config: im.Config, Ledger: im.Ledger.ledger()}
	if err := s.Config.Parse(); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode returns a snapshot.
func (s *State) Encode() ([]byte, error) {
	f, err := s.Freeze()
	if err != nil {
		return nil, err
	}
	return f.Encode(0)
}

// image is a snapshot. Earlier versions kept the batch jobs in the ledger.
type image struct {
	Config  *Config           `json:"config"`
	Ledger  ledgerImage       `json:"ledger"`
	Batches map[string]*Batch `json:"batches,omitempty"`
}

// Apply executes c. Applying an operation again gives its first outcome; another
// command under the same operation id is refused.
func (s *State) Apply(c Command) Outcome {
	if c.Op != "" {
		if first, ok := s.Ledger.Ops[c.Op]; ok {
			return first.again(c)
		}
	}
	o := s.apply(c)
	if c.Op != "" {
		s.Ledger.keepOp(c.Op, Operation{CommandHash: c.sum(), Outcome: o})
	}
	return o
}

func (o Operation) again(c Command) Outcome {
	if o.CommandHash != c.sum() {
		return refuse(result.IdempotencyKeyReused, "the operation id was used with another change")
	}
	return o.Outcome
}

func (s *State) apply(c Command) Outcome {
	if c.IsConfig() {
		return s.applyConfig(c)
	}
	switch {
	case c.ClaimBegin != nil:
		return s.claimBegin(c.ClaimBegin, c.At)
	case c.ClaimFinish != nil:
		return s.claimFinish(c.ClaimFinish, c.At)
	case c.StepOpen != nil:
		return s.stepOpen(c.StepOpen, c.At)
	case c.StepCommit != nil:
		return s.stepCommit(c.StepCommit, c.At)
	case c.StepAck != nil:
		return s.stepAck(c.StepAck, c.At)
	case c.StepMove != nil:
		return s.stepMove(c.StepMove, c.At)
	case c.OrderCreate != nil:
		return s.orderPlace(c.OrderCreate, c.At)
	case c.OrderUpdate != nil:
		return s.orderSettle(c.OrderUpdate, c.At)
	case c.UsageDelta != nil:
		return s.usageDelta(c.UsageDelta, c.At)
	case c.WindowClose != nil:
		return s.windowClose(c.WindowClose, c.At)
	case c.BatchAccept != nil:
		return s.batchAccept(c.BatchAccept, c.At)
	case c.BatchRecord != nil:
		return s.batchRecord(c.BatchRecord)
	case c.BatchEnd != nil:
		return s.batchEnd(c.BatchEnd)
	case c.IntervalFix != nil:
		return s.intervalFix(c.IntervalFix, c.At)
	case c.RetireMark != nil:
		s.Ledger.Retired[c.RetireMark.Replica] = true
		return Outcome{}
	case c.WindowReported != nil:
		return s.windowReported(c.WindowReported)
	}
	return refuse(result.Internal, "empty command")
}

func (s *State) applyConfig(c Command) Outcome {
	next, o := s.Config.Apply(c)
	if o.Code != result.OK || next == s.Config {
		return o
	}
	s.Config = next
	if p := c.RoutingPut; p != nil {
		s.Ledger.Source = RoutingSource{Version: p.Configuration.Version, Text: p.Source}
	}
	if p := c.ServicePut; p != nil {
		h := append(s.Ledger.History[p.Name], Edit{Version: p.Version, At: c.At, Text: p.Text})
		s.Ledger.History[p.Name] = h[max(0, len(h)-maxHistory):]
	}
	return o
}
