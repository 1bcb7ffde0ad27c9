package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	// memoryRetryAfter is the delay that a caller is told whose body does not fit into the memory of
	// this daemon now. Retry-After has whole seconds.
	memoryRetryAfter = time.Second
	// discardTime bounds how long the body of a refused request is read, so that the caller, which is
	// still sending it, gets the answer and not a reset connection.
	discardTime = time.Second
	// stepMemoryFactor is the memory that the body of a step takes as a multiple of its size: it is
	// decoded, encoded as a command and framed for peers.
	stepMemoryFactor = 8
	// answerPollInterval is the time between two attempts to get the memory for an answer.
	answerPollInterval = 20 * time.Millisecond
	// bufferLogInterval and bufferLogBurst bound the log lines about buffers.
	bufferLogInterval = time.Second
	bufferLogBurst    = 5
)

const (
	holdKey   = "hold"   // memory of the body of a request
	unreadKey = "unread" // set if the body was refused before its end
)

// buffers bounds the bodies and answers that a gateway holds.
type buffers struct {
	budget   *membudget.Budget // nil: no bound
	logLimit *rate.Limiter
}

func newBuffers(budget *membudget.Budget) buffers {
	return buffers{budget: budget, logLimit: rate.NewLimiter(rate.Every(bufferLogInterval), bufferLogBurst)}
}

// didNotFit counts and logs that a buffer did not fit. outcome says what became of it.
func (g *Gateway) didNotFit(request, outcome string, size int64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`apricotstream_gateway_buffers_total{outcome=%q}`, outcome)).Inc()
	if g.buffers.logLimit.Allow() {
		g.Log.Warn("No memory for a body or an answer.", "request", request, "outcome", outcome, "bytes", size, "buffered", g.buffers.budget.Used(), "limit", g.buffers.budget.Limit())
	}
}

// holdMemory is a middleware that releases the memory of the body when the request ends.
func (g *Gateway) holdMemory(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := g.newSharedHold()
		c.Set(holdKey, h)
		defer h.release()
		err := next(c)
		switch result.CodeOf(err) {
		case result.MemoryFull:
			g.didNotFit(requestID(c), "body_full", c.Request().ContentLength)
		case result.BodyTooLarge:
			g.didNotFit(requestID(c), "body_too_large", c.Request().ContentLength)
		}
		return err
	}
}

// sharedHold is the memory of a body or an answer that a handler shares with a request that continues
// after its caller has left.
type sharedHold struct {
	*membudget.Hold

	mu    sync.Mutex
	users int
}

// newSharedHold returns a hold of no bytes with one user.
func (g *Gateway) newSharedHold() *sharedHold {
	return &sharedHold{Hold: g.buffers.budget.Hold(), users: 1}
}

// holdOf returns the memory of the body of a request; nil without the middleware.
func holdOf(c echo.Context) *sharedHold {
	h, _ := c.Get(holdKey).(*sharedHold)
	return h
}

// memoryOf returns the hold of h, which may be nil.
func memoryOf(h *sharedHold) *membudget.Hold {
	if h == nil {
		return nil
	}
	return h.Hold
}

// use adds a user. If the last one has left, it takes size bytes again. It returns false if these are
// not free.
func (h *sharedHold) use(size int) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users == 0 && !h.Resize(int64(size)) {
		return false
	}
	h.users++
	return true
}

// release removes a user. The last one releases the memory.
func (h *sharedHold) release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users--; h.users == 0 {
		h.Release()
	}
}

// holdStep takes the memory for decoding a body of size bytes. Errors: BodyTooLarge, MemoryFull.
func (g *Gateway) holdStep(c echo.Context, size int64) error {
	need := stepMemoryFactor * size
	switch {
	case !g.buffers.budget.Fits(need):
		return result.New(result.BodyTooLarge, "the step has %d bytes, more than this daemon can keep", size)
	case !memoryOf(holdOf(c)).Resize(need):
		return result.NewRetryAfter(result.MemoryFull, memoryRetryAfter, "the memory for bodies is in use: a step of %d bytes does not fit now", size)
	}
	return nil
}

// discardBody reads the rest of a body that was refused, without keeping it.
func discardBody(c echo.Context) {
	controller := http.NewResponseController(c.Response())
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return // the connection has ended
	}
	_, _ = io.Copy(io.Discard, c.Request().Body) // ends with the caller, or at the deadline
}

// readWhole reads the body of a response. Without memory for it, it waits until there is, or until ctx
// ends: the request has run, so its answer must not be dropped. held holds the memory.
func (g *Gateway) readWhole(ctx context.Context, request string, resp *http.Response, held *membudget.Hold) ([]byte, error) {
	if resp.ContentLength <= maxResponseBytes && !g.buffers.budget.Fits(resp.ContentLength) {
		return nil, result.New(result.UpstreamFailed, "the response has %d bytes, more than this daemon can keep", resp.ContentLength)
	}
	b, err := membudget.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes, held)
	if !errors.Is(err, membudget.ErrFull) {
		return b, err
	}
	g.didNotFit(request, "answer_waits", resp.ContentLength)
	for errors.Is(err, membudget.ErrFull) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(answerPollInterval):
		}
		if resp.ContentLength >= 0 {
			b, err = membudget.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes, held)
			continue
		}
		if b, err = growOnce(b, held); err == nil {
			b, err = readRest(resp.Body, b, held)
		}
	}
	return b, err
}

// growOnce returns b with twice its capacity. Both buffers are held while the bytes are copied.
func growOnce(b []byte, held *membudget.Hold) ([]byte, error) {
	before := int64(cap(b))
	after := min(max(2*before, 8<<10), maxResponseBytes+1)
	if !held.Resize(before + after) {
		return b, membudget.ErrFull
	}
	larger := append(make([]byte, 0, after), b...)
	held.Resize(after)
	return larger, nil
}

// readRest reads r to its end behind b.
func readRest(r io.Reader, b []byte, held *membudget.Hold) ([]byte, error) {
	for {
		if len(b) > maxResponseBytes {
			return b, membudget.ErrTooLarge
		}
		if len(b) == cap(b) {
			var err error
			if b, err = growOnce(b, held); err != nil {
				return b, err
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}
