package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
)

// readBody reads a request body of at most limit bytes. It returns BodyTooLarge for a
// larger body.
func readBody(c echo.Context, limit int) ([]byte, error) {
	r := c.Request()
	b, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, int64(limit)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, result.New(result.BodyMalformed, "the body cannot be read: %v", err)
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
