package proxy

import (
	"context"
	"io"
)

// cancelOnClose cancels the request's context when the stream is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
