package admission

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Refused counts a refusal by account and code, and returns it.
func CountRejection(t RequestInfo, err error) error {
	name := fmt.Sprintf(`apricotstream_refusals_total{service=%q,account=%q,code="%d"}`, t.Service, t.Account, result.CodeOf(err))
	metrics.GetOrCreateCounter(name).Inc()
	return err
}

// waited records how long a request waited for its turn: the worst-served client
// account of a service is the one that waits longest.
func waited(t RequestInfo, d time.Duration) {
	name := fmt.Sprintf(`apricotstream_account_wait_seconds{service=%q,account=%q}`, t.Service, t.Account)
	metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}

// served counts what an account has used, in tokens.
func served(t RequestInfo, cost float64) {
	used, _ := actualCost(cost, t.Cost)
	name := fmt.Sprintf(`apricotstream_account_tokens_total{service=%q,account=%q}`, t.Service, t.Account)
	metrics.GetOrCreateFloatCounter(name).Add(used)
}

// queueLength shows how many requests of a service wait here.
func queueLength(service string, n int) {
	name := fmt.Sprintf(`apricotstream_queue_length{service=%q}`, service)
	metrics.GetOrCreateGauge(name, nil).Set(float64(n))
}
