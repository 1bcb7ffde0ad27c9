package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
)

// bodyTimeout bounds the time in which a caller must send its body. A body of the largest
// limit, 64 MB, arrives in it at 20 Mbit/s.
const bodyTimeout = 30 * time.Second

// readBody reads a request body of at most limit bytes. It returns BodyTooLarge for a
// larger body, and BodyMalformed for one that does not arrive within bodyTimeout.
func readBody(c echo.Context, limit int) ([]byte, error) {
	r := c.Request()
	controller := http.NewResponseController(c.Response())
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, result.New(result.Internal, "cannot set a deadline for the body: %v", err)
	}
	b, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, int64(limit)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, result.New(result.BodyMalformed, "the body cannot be read: %v", err)
	}
	// The server reads on to notice a disconnect, which must not end with the deadline.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, result.New(result.BodyMalformed, "the caller disconnected: %v", err)
	}
	return b, nil
}

// readJSON reads a request body of at most limit bytes and decodes it into v.
func readJSON(c echo.Context, limit int, v any) error {
	b, err := readBody(c, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return result.New(result.BodyMalformed, "the body is not the expected JSON: %v", err)
	}
	return nil
}
