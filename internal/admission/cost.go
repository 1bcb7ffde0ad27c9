package admission

// actualCost returns the cost of a request in tokens and whether it was measured.
// A cost of 0 or less was not: the estimate counts then.
func actualCost(cost, estimate float64) (float64, bool) {
	if cost > 0 {
		return cost, true
	}
	return estimate, false
}
