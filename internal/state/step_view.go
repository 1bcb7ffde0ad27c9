package state

// StepView is the part of a step that its owner checks before it sends a sample.
type StepView struct {
	Account       string `json:"account"`
	Owner         string `json:"owner"`
	Address       string `json:"address"`
	Attempt       uint64 `json:"attempt"`
	Epoch         uint64 `json:"epoch"`
	Acked         int    `json:"acked"`
	Done          bool   `json:"done"`
	OldestAllowed uint64 `json:"oldest_allowed"` // oldest weight version that may still be delivered
}

// StepView returns the view of the step with this ID, or nil if there is none.
func (s *State) StepView(id string) *StepView {
	x, ok := s.Ledger.Steps[id]
	if !ok {
		return nil
	}
	return &StepView{
		Account: x.Account, Owner: x.Owner, Address: x.Address, Attempt: x.Attempt, Epoch: x.Epoch,
		Acked: x.Acked, Done: x.Done, OldestAllowed: s.Config.OldestAllowed(x.Service),
	}
}

// OldestAllowed returns the oldest weight version of a service whose samples are within
// the staleness bound.
func (c *Config) OldestAllowed(service string) uint64 {
	newest := c.Weights[service].Version
	s, ok := c.Services[service]
	if !ok || s.Parsed == nil {
		return newest
	}
	bound := uint64(s.Parsed.Staleness)
	if newest <= bound {
		return 0
	}
	return newest - bound
}
