package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/result"
)

// bodyTimeout bounds the time in which a caller must send its body. A body of the largest
// limit, 64 MB, arrives in it at 20 Mbit/s.
const bodyTimeout = 30 * time.Second

// readBody reads a request body of at most limit bytes. It returns BodyTooLarge for a
// larger body, or one that never fits into the memory of this daemon, MemoryFull for one that does
// not fit now, and BodyMalformed for one that does not arrive within bodyTimeout.
func readBody(c echo.Context, limit int) ([]byte, error) {
	r := c.Request()
	controller := http.NewResponseController(c.Response())
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, result.New(result.Internal, "cannot set a deadline for the body: %v", err)
	}
	held := memoryOf(holdOf(c))
	if !held.Fits(r.ContentLength) {
		refuseBody(c)
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes, more than this daemon can keep", r.ContentLength)
	}
	b, err := membudget.ReadAll(r.Body, r.ContentLength, int64(limit), held)
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		refuseBody(c)
		return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, membudget.ErrFull):
		refuseBody(c)
		return nil, result.NewRetryAfter(result.MemoryFull, memoryRetryAfter, "the memory for bodies is in use: %d bytes do not fit now", r.ContentLength)
	case err != nil:
		return nil, result.New(result.BodyMalformed, "the body cannot be read: %v", err)
	}
	// The server reads on to notice a disconnect, which must not end with the deadline.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, result.New(result.BodyMalformed, "the caller disconnected: %v", err)
	}
	return b, nil
}

// refuseBody records that the body is refused before its end. The response may then be written first.
func refuseBody(c echo.Context) {
	c.Set(unreadKey, true)
	c.Response().Header().Set("Connection", "close")
	_ = http.NewResponseController(c.Response()).EnableFullDuplex() // HTTP/2 needs none
}

// readJSON reads a request body of at most limit bytes and decodes it into v.
func readJSON(c echo.Context, limit int, v any) error {
	b, err := readBody(c, limit)
	if err != nil {
		return err
	}
	return decodeJSON(b, v)
}

func decodeJSON(b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return result.New(result.BodyMalformed, "the body is not the expected JSON: %v", err)
	}
	return nil
}
