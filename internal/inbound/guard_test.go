package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/membudget"
)

// smallestBudget is that of an entry with 144 MB.
const smallestBudget = 50 << 20

// serve serves requests under a guard. The handler answers with the size of the body.
func serve(t *testing.T, connections int) (address string, budget *membudget.Budget) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	budget = membudget.New(smallestBudget)
	s := &http.Server{MaxHeaderBytes: 128 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%d bytes", len(b))
	})}
	go s.Serve(NewGuard("test", connections, budget, log.New(io.Discard)).Protect(s, l))
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), budget
}

// send writes parts of a request with a pause between them and returns the status and the body of
// the answer, or an error.
func send(address string, parts ...string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	for i, p := range parts {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(c, p); err != nil {
			return "", err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(b)), err
}

// Guards against a bound that refuses a single request within what configurations allow, and against
// memory that is not given back, also after heads that are no requests.
func TestSingleRequests(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	begin := "POST /1 HTTP/1.1\r\nHost: h\r\n"
	for _, x := range []struct {
		name, want string
		parts      []string
	}{
		{"many short fields", "200 2 bytes", []string{begin + fields.String() + "Content-Length: 2\r\n\r\nab"}},
		{"one long field", "200 0 bytes", []string{begin + "X: " + strings.Repeat("y", 15<<10) + "\r\nContent-Length: 0\r\n\r\n"}},
		{"in pieces", "200 2 bytes", []string{"P", "OST /1 HTT", "P/1.1\r", "\nHost: h\r\nContent-Length: 2\r\n", "\r", "\na", "b"}},
		{"chunks of one byte", "200 3 bytes", []string{begin + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", "1\r\nb\r\n", "1\r\nc\r\n", "0\r\n\r\n"}},
		{"trailers", "200 1 bytes", []string{begin + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", "1\r\na\r\n0\r\nT: v\r\n\r\n"}},
		{"NUL byte", "400 400 Bad Request", []string{begin + "X: a\x00b\r\n\r\n"}},
		{"folded field", "200 0 bytes", []string{begin + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n"}},
		{"two lengths", "400 400 Bad Request", []string{begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"}},
		{"empty line first", "400 400 Bad Request", []string{"\r\n" + begin + "\r\n"}},
		{"over the limit", "431 431 Request Header Fields Too Large", []string{begin + "X: " + strings.Repeat("y", 140<<10) + "\r\n\r\n"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			address, budget := serve(t, 10)
			got, err := send(address, x.parts...)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(x.want))
			g.Eventually(budget.Used, 10*time.Second).Should(BeZero())
		})
	}
}

// Guards against bytes that are counted as a head of one request although they belong to a body or
// to another request, so that a kept connection is closed after some requests.
func TestRequestsOnOneConnectionGiveTheirMemoryBack(t *testing.T) {
	g := NewWithT(t)
	address, budget := serve(t, 10)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	answers := bufio.NewReader(c)
	request := "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100000)
	for i := range 200 { // 500 MB if the bodies were counted as heads
		count := 1 + i%2 // sometimes two at once
		_, err := io.WriteString(c, strings.Repeat(request, count))
		g.Expect(err).NotTo(HaveOccurred())
		for range count {
			resp, err := http.ReadResponse(answers, nil)
			g.Expect(err).NotTo(HaveOccurred())
			b, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(b)).To(Equal("100000 bytes"))
		}
	}
	g.Expect(budget.Used()).To(BeNumerically("<", 1<<20))
}

// Guards against callers whose connections are refused because others stay open.
func TestNewConnectionTakesThePlaceOfASilentOne(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, 5)
	for range 20 {
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
	}
	got, err := send(address, "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal("200 0 bytes"))
}
