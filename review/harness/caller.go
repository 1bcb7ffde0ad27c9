package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const callerHost = "ficu95.example"

var lastID atomic.Int64

// resolved is an answer of the directory.
type resolved struct {
	Addresses []string `json:"addresses"`
	TTLS      float64  `json:"ttlS"`
}

// resolve asks a front where to connect, as a client in its zone does.
func (f *fleet) resolve(d *daemon) (resolved, error) {
	var out resolved
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=qc-est&zone=%s", d.ip, portDir, callerHost, d.zone))
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&out)
	f.rec.logf("client: %s answers resolve with %v for %g s", d.id, out.Addresses, out.TTLS)
	return out, err
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// channel is a kept channel of a client to a front.
type channel struct {
	to   string
	conn net.Conn
	in   *bufio.Reader
}

// open opens the channel if it is closed. A client allows one second for that.
func (c *channel) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.to, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// send sends a request and returns the answer with its body unread.
func (c *channel) send(method, path, id string, header map[string]string, body string, wait time.Duration) (*http.Response, error) {
	if err := c.open(); err != nil {
		return nil, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, callerHost, id, wait.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(wait + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return nil, err
	}
	req := &http.Request{Method: method}
	resp, err := http.ReadResponse(c.in, req)
	if err != nil {
		c.close()
	}
	return resp, err
}

// call is send with a short body read whole.
func (c *channel) call(method, path, id string, header map[string]string, body string, wait time.Duration) (int, string, error) {
	resp, err := c.send(method, path, id, header, body, wait)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return resp.StatusCode, string(b), err
}
