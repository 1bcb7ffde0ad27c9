package gateway

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
)

func metricsHandler(c echo.Context) error {
	metrics.WritePrometheus(c.Response(), true)
	return nil
}

// recordRequest updates the request metrics of a service with the result code and
// duration of a request.
func recordRequest(service string, code result.Code, took time.Duration) {
	labels := `{service="` + service + `",code="` + strconv.Itoa(int(code)) + `"}`
	metrics.GetOrCreateCounter("apricotstream_requests_total" + labels).Inc()
	metrics.GetOrCreateHistogram(`apricotstream_request_seconds{service="` + service + `"}`).Update(took.Seconds())
}
