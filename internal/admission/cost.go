package admission

// actualCost returns the cost of a request in tokens and whether it was measured. If cost
// is 0 or less, it was not measured, and the estimate is returned.
func actualCost(cost, estimate float64) (float64, bool) {
	if cost > 0 {
		return cost, true
	}
	return estimate, false
}
