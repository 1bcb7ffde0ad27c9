package capacity

// budget is the price per hour that may still be added by new orders.
type budget struct {
	unlimited bool
	remaining float64
}

// budget returns what is left of the spending cap after the billable orders. A cap of 0
// means unlimited.
func (p *planner) budget() *budget {
	b := &budget{unlimited: p.Doc.Capacity.SpendingCap == 0, remaining: p.Doc.Capacity.SpendingCap}
	for _, o := range p.billable {
		b.remaining -= o.Price
	}
	return b
}

// reserve deducts price from the budget. It returns false if too little remains.
func (b *budget) reserve(price float64) bool {
	if b.unlimited {
		return true
	}
	if price > b.remaining {
		return false
	}
	b.remaining -= price
	return true
}
