package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
)

// errorBody is the response to a failed request.
type errorBody struct {
	Error errorInfo `json:"error"`
}

type errorInfo struct {
	Code         result.Code  `json:"code"`
	Name         string       `json:"name"`
	Class        result.Class `json:"class"`
	Message      string       `json:"message"`
	Advice       string       `json:"advice"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	RequestID    string       `json:"request_id"`
}

// newErrorInfo describes an error to the caller.
func newErrorInfo(err error, requestID string) errorInfo {
	e := result.From(err)
	i := e.Code.Info()
	return errorInfo{
		Code: e.Code, Name: i.Name, Class: i.Class, Message: e.Message, Advice: i.Advice,
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID,
	}
}

// writeError is the HTTP error handler. It writes the error as an errorBody unless the
// response has already begun, and logs internal errors.
func (g *Gateway) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = result.New(result.RouteUnknown, "%v", he.Message)
	}
	e := result.From(err)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if e.Code == result.Internal {
		g.Log.Error("Request failed.", "request", requestID(c), "err", err.Error())
	}
	status := e.Code.Info().Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	_ = c.JSON(status, errorBody{Error: newErrorInfo(err, requestID(c))})
	if c.Get(unreadKey) != nil {
		discardBody(c)
	}
}
