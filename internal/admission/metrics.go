package admission

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/result"
)

// CountRejection counts the rejection of a request by service, account and code of err,
// and returns err.
func CountRejection(info RequestInfo, err error) error {
	name := fmt.Sprintf(`apricotstream_refusals_total{service=%q,account=%q,code="%d"}`, info.Service, info.Account, result.CodeOf(err))
	metrics.GetOrCreateCounter(name).Inc()
	return err
}

// recordWait records how long a request waited for its admission. The client account that
// waits longest is the worst served one of a service.
func recordWait(info RequestInfo, d time.Duration) {
	name := fmt.Sprintf(`apricotstream_account_wait_seconds{service=%q,account=%q}`, info.Service, info.Account)
	metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}

// recordTokens adds the tokens that a request used to the count of its account.
func recordTokens(info RequestInfo, cost float64) {
	used, _ := actualCost(cost, info.Cost)
	name := fmt.Sprintf(`apricotstream_account_tokens_total{service=%q,account=%q}`, info.Service, info.Account)
	metrics.GetOrCreateFloatCounter(name).Add(used)
}

// setQueueLength publishes how many requests of a service are queued at this entry.
func setQueueLength(service string, n int) {
	name := fmt.Sprintf(`apricotstream_queue_length{service=%q}`, service)
	metrics.GetOrCreateGauge(name, nil).Set(float64(n))
}
