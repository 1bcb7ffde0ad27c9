package capacity

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/state"
)

// PublishMetrics publishes for a service the spending per hour, the share of cheap
// upstreams and the number of orders that are open or releasing.
func PublishMetrics(service string, orders []state.Order) {
	var spending, cheap, all, open float64
	for _, o := range orders {
		if o.Service != service || !o.Billable() {
			continue
		}
		all++
		spending += o.Price
		if o.Class == state.ClassCheap {
			cheap++
		}
		if o.State == state.OrderOpen || o.State == state.OrderReleasing {
			open++
		}
	}
	labels := `{service="` + service + `"}`
	metrics.GetOrCreateGauge("apricotstream_spending_per_hour"+labels, nil).Set(spending)
	metrics.GetOrCreateGauge("apricotstream_cheap_share"+labels, nil).Set(cheap / max(all, 1))
	metrics.GetOrCreateGauge("apricotstream_orders_open"+labels, nil).Set(open)
}
