package state

import (
	"maps"

	"github.com/apricotstream/apricotstream/internal/result"
)

// State is the state machine. One goroutine owns it. Any goroutine may read a Config
// obtained from it.
type State struct {
	Config *Config
	Ledger *Ledger
}

// New returns an empty state.
func New() *State {
	return &State{Config: NewConfig(), Ledger: newLedger()}
}

// Decode decodes a snapshot.
func Decode(b []byte) (*State, error) {
	im := image{Config: NewConfig(), Ledger: newLedger().image()}
	if err := unmarshal(b, &im); err != nil {
		return nil, result.New(result.CodeOf(err), "snapshot: %v", result.From(err).Message)
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

// Encode returns the state encoded as a snapshot.
func (s *State) Encode() ([]byte, error) {
	f, err := s.Freeze()
	if err != nil {
		return nil, err
	}
	return f.Encode()
}

// image is the encoded form of a snapshot. Earlier versions stored the batch jobs in the
// ledger.
type image struct {
	Config  *Config           `json:"config"`
	Ledger  ledgerImage       `json:"ledger"`
	Batches map[string]*Batch `json:"batches,omitempty"`
}

// Apply executes c. A command with a known operation ID is not executed again: it gets
// the outcome of the first execution, or is rejected if it is a different command.
func (s *State) Apply(c Command) Outcome {
	s.Ledger.discarded = nil
	if t := c.Time(); t.After(s.Ledger.Time) {
		s.Ledger.Time = t
	}
	if c.Op != "" {
		if applied, ok := s.Ledger.Ops[c.Op]; ok {
			return applied.outcomeFor(c)
		}
	}
	o := s.apply(c)
	if c.Op != "" {
		s.Ledger.recordOperation(c.Op, Operation{CommandHash: c.contentHash(), Outcome: o})
	}
	return o
}

// outcomeFor returns the stored outcome if c is the command of the operation. Otherwise it
// rejects c.
func (o Operation) outcomeFor(c Command) Outcome {
	if o.CommandHash != c.contentHash() {
		return reject(result.IdempotencyKeyReused, "the operation id was used with another change")
	}
	return o.Outcome
}

func (s *State) apply(c Command) Outcome {
	if c.IsConfig() {
		return s.applyConfig(c)
	}
	now := s.Ledger.Time
	switch {
	case c.ClaimBegin != nil:
		return s.claimBegin(c.ClaimBegin, now)
	case c.ClaimFinish != nil:
		return s.claimFinish(c.ClaimFinish, now)
	case c.StepOpen != nil:
		return s.stepOpen(c.StepOpen, now)
	case c.StepCommit != nil:
		return s.stepCommit(c.StepCommit, now)
	case c.StepAck != nil:
		return s.stepAck(c.StepAck, now)
	case c.StepMove != nil:
		return s.stepMove(c.StepMove, now)
	case c.OrderCreate != nil:
		return s.orderCreate(c.OrderCreate, now)
	case c.OrderUpdate != nil:
		return s.orderUpdate(c.OrderUpdate, now)
	case c.UsageDelta != nil:
		return s.usageDelta(c.UsageDelta, c.At, now)
	case c.WindowClose != nil:
		return s.windowClose(c.WindowClose, now)
	case c.BatchAccept != nil:
		return s.batchAccept(c.BatchAccept, now)
	case c.BatchRecord != nil:
		return s.batchRecord(c.BatchRecord)
	case c.BatchEnd != nil:
		return s.batchEnd(c.BatchEnd, now)
	case c.IntervalFix != nil:
		return s.intervalFix(c.IntervalFix, c.At)
	case c.RetireMark != nil:
		s.Ledger.Retired[c.RetireMark.Replica] = true
		return Outcome{}
	case c.WindowReported != nil:
		return s.windowReported(c.WindowReported)
	}
	return reject(result.Internal, "empty command")
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
		s.Ledger.History[p.Name] = h[max(0, len(h)-maxEditsPerDocument):]
	}
	return o
}
