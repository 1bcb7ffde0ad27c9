package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

type callHandler func(ctx context.Context, params json.RawMessage) (any, error)

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

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]*stream
	closed bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{
		calls:   map[string]callHandler{},
		notices: map[string]noticeHandler{},
		conns:   map[*jsonrpc2.Conn]*stream{},
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

// Serve accepts connections until l.Accept fails, for example because l was closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.serveConn(ctx, c)
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	st := newStream(c, s.handleNotice)
	conn := jsonrpc2.NewConn(ctx, st, s, discardLibraryLogs)
	s.conns[conn] = st
	go func() {
		<-conn.DisconnectNotify()
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
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
