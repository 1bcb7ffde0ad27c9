package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

type callHandler func(ctx context.Context, params json.RawMessage) (any, error)

type refuser func(ctx context.Context, c largeCall) (any, error)

type noticeHandler func(params json.RawMessage)

// EncodedResult is a result that many callers get at the same time. It encodes itself, so
// that it need not be encoded for each of them.
type EncodedResult interface {
	// EncodeJSON returns the JSON form of the result, which must be valid.
	EncodeJSON() ([]byte, error)
}

// Server serves the calls and notices of other daemons. All handlers must be registered
// before Serve is called.
type Server struct {
	calls   map[string]callHandler
	notices map[string]noticeHandler

	// otherPrefix and other handle connections that carry neither calls nor notices.
	otherPrefix string
	other       OtherHandler

	guard    *Guard             // nil: no bounds
	refusals map[string]refuser // of the methods of ShareFrames

	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]*stream
	opening map[net.Conn]bool // connections that have not carried a call or notice
	closed  bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{
		calls:    map[string]callHandler{},
		notices:  map[string]noticeHandler{},
		refusals: map[string]refuser{},
		conns:    map[*jsonrpc2.Conn]*stream{},
		opening:  map[net.Conn]bool{},
	}
}

// Handle registers f as the handler of a call. A coded error of f reaches the caller
// unchanged. Parameters that cannot be decoded are rejected with BodyMalformed.
func Handle[P, R any](s *Server, method string, f func(context.Context, P) (R, error)) {
	s.calls[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, result.New(result.BodyMalformed, "%s: %v", method, err)
		}
		return f(ctx, p)
	}
}

// HandleRaw registers f as the handler of a call that decodes the parameters itself.
func HandleRaw[R any](s *Server, method string, f func(ctx context.Context, params json.RawMessage) (R, error)) {
	s.calls[method] = func(ctx context.Context, raw json.RawMessage) (any, error) { return f(ctx, raw) }
}

// HandleNotice registers f as the handler of a notice. Notices that cannot be decoded are
// ignored.
func HandleNotice[P any](s *Server, method string, f func(P)) {
	s.notices[method] = func(raw json.RawMessage) {
		var p P
		if json.Unmarshal(raw, &p) == nil {
			f(p)
		}
	}
}

// HandleRawNotice registers f as the handler of a notice that decodes the parameters itself.
// f must not use params after it returns.
func HandleRawNotice(s *Server, method string, f func(params json.RawMessage)) {
	s.notices[method] = f
}

// Protect makes the server keep to the bounds of g. It must be called before Serve.
func (s *Server) Protect(g *Guard) { s.guard = g }

// acceptRetryDelay is the time after which a failed Accept is tried again, for example when the
// process has no descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until l is closed or ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(ctx, c)
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			s.guard.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// OtherHandler serves a connection that carries neither calls nor notices. in holds what was read of
// it. admit must be called before the connection is kept; it returns false if too many are.
type OtherHandler func(c net.Conn, in *bufio.Reader, admit func() bool)

// HandleOther makes f serve the connections that begin with prefix, which must differ from the
// beginning of a frame. They are closed with the server.
func (s *Server) HandleOther(prefix string, f OtherHandler) {
	s.otherPrefix, s.other = prefix, f
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	if !s.guard.open(c) {
		return
	}
	s.opening[c] = true
	go s.serveOpening(ctx, c)
}

// serveOpening serves a connection according to its first bytes.
func (s *Server) serveOpening(ctx context.Context, c net.Conn) {
	st := newStream(c, s.handleNotice)
	st.guard, st.sharing = s.guard, s.refusals
	st.onCall = func(c largeCall) { go s.handleLargeCall(ctx, st, c) }
	if s.other != nil {
		first, err := st.in.Peek(len(s.otherPrefix))
		if err == nil && string(first) == s.otherPrefix {
			s.other(c, st.in, func() bool { return s.guard.relay(c) })
			err = net.ErrClosed
		}
		if err != nil {
			c.Close()
			s.guard.ended(c)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.opening, c)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opening, c)
	if s.closed {
		c.Close()
		s.guard.ended(c)
		return
	}
	conn := jsonrpc2.NewConn(ctx, st, s, discardLibraryLogs)
	s.conns[conn] = st
	go func() {
		<-conn.DisconnectNotify()
		s.guard.ended(c)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
}

// Handle implements jsonrpc2.Handler.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		s.handleNotice(req.Method, params)
		return
	}
	go s.handleCall(ctx, conn, req, params)
}

// Dispatch handles a notice that another daemon has passed on.
func (s *Server) Dispatch(method string, params json.RawMessage) { s.handleNotice(method, params) }

// handleNotice runs the handler of a notice. A notice without a handler is ignored. params
// is not used after the call.
func (s *Server) handleNotice(method string, params json.RawMessage) {
	if f := s.notices[method]; f != nil {
		f(params)
	}
}

func (s *Server) handleCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	f := s.calls[req.Method]
	if f == nil {
		// Replica methods are the only ones that some daemons lack.
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(result.New(result.NotReplica, "this daemon does not serve %s", req.Method)))
		return
	}
	r, err := f(ctx, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	b, err := encodeResult(r)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(result.New(result.Internal, "cannot encode the result: %v", err)))
		return
	}
	s.mu.Lock()
	st := s.conns[conn]
	s.mu.Unlock()
	if st == nil || st.writeResult(req.ID, b) != nil {
		_ = conn.Close()
	}
}

func encodeResult(r any) ([]byte, error) {
	if e, ok := r.(EncodedResult); ok {
		return e.EncodeJSON()
	}
	return json.Marshal(r)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	for c := range s.opening {
		c.Close()
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
