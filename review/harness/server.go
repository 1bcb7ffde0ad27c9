package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of a service: it registers itself, checks Expect-Instance,
// keeps channels open and signs its answers.
type server struct {
	rec     *record
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	born    int64
	model   string // of an engine; empty for a plain service
	serve   func(s *server, q *request)
	l       net.Listener
	seq     atomic.Int64
	orders  atomic.Int64
	version atomic.Int64
	running atomic.Int64
	leaving atomic.Bool
	stopped atomic.Bool
	mu      sync.Mutex
	conns   map[net.Conn]bool

	number, incarnation int         // see crash
	software            string      // version in status reports
	cut                 atomic.Bool // from the core and from control
}

// request is a request at a server, after its id has been checked.
type request struct {
	*http.Request
	id   string
	body []byte
	conn net.Conn
	done chan struct{} // closed when the channel ends
}

func (f *fleet) server(n int, id, service, model string, slots int, serve func(*server, *request)) (*server, error) {
	s := &server{rec: f.rec, fleet: f, id: id, service: service, zone: zones[n%3], address: fmt.Sprintf("%s:%d", f.addr(30+n), portServer), slots: slots, born: time.Now().UnixMilli(), model: model, software: "v1", serve: serve, conns: map[net.Conn]bool{}}
	s.version.Store(1)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.l = l
	go s.accept()
	go s.beat()
	return s, nil
}

func (s *server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.handle(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// reset closes a channel with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (s *server) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &request{Request: r, id: r.Header.Get("Request-Id"), body: body, conn: c, done: make(chan struct{})}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
			q.answer(s, 421, nil, nil, false)
			continue
		}
		switch {
		case r.URL.Path == "/report" && r.Method == "GET":
			b, _ := json.Marshal(map[string]any{"stage": "both", "models": s.models(), "busy": false, "seq": s.orders.Load(), "numWaiting": 0, "numRunning": s.running.Load(), "kvUsed": 0, "kvTotal": 69123, "handles": 0, "born": s.born})
			q.answer(s, 200, b, http.Header{"Content-Type": {"application/json"}}, false)
			continue
		case r.URL.Path == "/order" && r.Method == "POST":
			var o struct {
				Version  int64
				Expected *int64
			}
			status := 202
			if json.Unmarshal(body, &o) != nil {
				status = 400
			} else if o.Expected != nil && *o.Expected != s.orders.Load() {
				status = 409
			} else if o.Version <= s.version.Load() {
				status = 200
			} else {
				s.orders.Add(1)
				s.version.Store(o.Version)
			}
			q.answer(s, status, nil, nil, false)
			continue
		}
		if q.id == "" {
			q.answer(s, 400, nil, http.Header{"Not-Executed": {"1"}}, false)
			continue
		}
		// The next byte or the end of the channel is awaited while the request runs.
		peeked := make(chan error, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				close(q.done)
			}
			peeked <- err
		}()
		s.running.Add(1)
		s.serve(s, q)
		s.running.Add(-1)
		if <-peeked != nil {
			return
		}
	}
}

func (s *server) models() []map[string]any {
	if s.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.model, "version": s.version.Load(), "adapters": []string{}}}
}

// answer writes a whole answer with a length.
func (q *request) answer(s *server, status int, body []byte, h http.Header, signed bool) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\nInstance-Id: %s\r\n", status, len(body), s.id)
	if q.id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", q.id)
	}
	if signed {
		fmt.Fprintf(&b, "Server-Stamp: %s.%s\r\n", s.id, q.id)
	}
	for k, v := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v[0])
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = q.conn.Write(b.Bytes())
}

// work waits for the duration of the work, or until the channel has ended.
func (q *request) work(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.done:
		return false
	}
}

// events writes a stream of events, one each pause, from the one after Last-Event-Id on.
func (q *request) events(s *server, n int, pause time.Duration) (sent int, ok bool) {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nWeight-Versions: %d\r\nInstance-Id: %s\r\n\r\n", q.id, s.id, q.id, s.version.Load(), s.id)
	for i := from + 1; i <= n; i++ {
		if !q.work(pause) {
			return i - 1, false
		}
		e := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i, i, q.id)
		if _, err := fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return i - 1, false
		}
	}
	_, err := io.WriteString(q.conn, "0\r\n\r\n")
	return n, err == nil
}

// beat sends status reports about every 1.2 s.
func (s *server) beat() {
	client := http.Client{Timeout: time.Second}
	for i := 0; !s.stopped.Load(); i++ {
		if s.cut.Load() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		state := "ready"
		if s.leaving.Load() {
			state = "draining"
		}
		s.seq.Add(1)
		b, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": s.software, "slots": s.slots, "state": state, "coldMs": 0, "stage": "both", "models": s.models(), "seq": s.seq.Load(), "born": s.born})
		ok := false
		for k := 0; k < 3 && !ok; k++ {
			d := s.fleet.stores[(i+k)%3]
			req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:%d/instances/%s", d.ip, portControl, s.id), bytes.NewReader(b))
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			ok = resp.StatusCode/100 == 2
		}
		if !ok {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(1200 * time.Millisecond)
	}
}
