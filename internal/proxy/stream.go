package proxy

import (
	"context"
	"io"
)

// cancelOnClose ends the request's context with its stream.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
