package picker

// rateFilter drops upstreams that are at the rate that they name.
type rateFilter struct{}

// Keep implements Filter.
func (rateFilter) Keep(_ Request, c Candidate) bool { return !c.AtRate }
