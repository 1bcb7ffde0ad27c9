package peer

import (
	"bufio"
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

	// otherPrefix and other handle connections that carry neither calls nor notices.
	otherPrefix string
	other       func(c net.Conn, in *bufio.Reader)

	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]*stream
	opening map[net.Conn]bool // connections that have not carried a call or notice
	closed  bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{
		calls:   map[string]callHandler{},
		notices: map[string]noticeHandler{},
		conns:   map[*jsonrpc2.Conn]*stream{},
		opening: map[net.Conn]bool{},
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

// HandleOther makes f serve the connections that begin with prefix, which must differ from the
// beginning of a frame. in holds what was read of the connection. The connection is closed with
// the server.
func (s *Server) HandleOther(prefix string, f func(c net.Conn, in *bufio.Reader)) {
	s.otherPrefix, s.other = prefix, f
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	s.opening[c] = true
	go s.serveOpening(ctx, c)
}

// serveOpening serves a connection according to its first bytes.
func (s *Server) serveOpening(ctx context.Context, c net.Conn) {
	st := newStream(c, s.handleNotice)
	if s.other != nil {
		first, err := st.in.Peek(len(s.otherPrefix))
		if err == nil && string(first) == s.otherPrefix {
			s.other(c, st.in)
			err = net.ErrClosed
		}
		if err != nil {
			c.Close()
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
		return
	}
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
	for c := range s.opening {
		c.Close()
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
