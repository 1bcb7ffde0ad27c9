package cli

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

var _ = Describe("The client of an entry", func() {
	// The whole body of a response was read, whatever its size: gigabytes within the timeout
	// of a request.
	It("cuts a response without an end", func() {
		chunk := []byte(strings.Repeat("x", 1<<20))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 512 {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		}))
		defer s.Close()
		c := entryClient{Entry: []string{s.Listener.Addr().String()}}
		var err error
		heap := testkit.PeakHeap(func() { err = c.do(http.MethodGet, "/", nil, nil) })
		Expect(heap).To(BeNumerically("<", 4*maxResponseBytes))
		Expect(result.CodeOf(err)).To(Equal(result.CommitUnknown))
	})

	It("does not take an answer with an invalid status for a success", func() {
		s := testkit.ServeRaw(GinkgoTB(), func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}")
		})
		c := entryClient{Entry: []string{s.Address}}
		Expect(result.CodeOf(c.do(http.MethodPut, "/", nil, nil))).To(Equal(result.CommitUnknown))
	})

	It("does not take an answer that is reset under a large document for complete", func() {
		s := testkit.ServeRaw(GinkgoTB(), func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
			c.Close()
		})
		c := entryClient{Entry: []string{s.Address}}
		for range 20 {
			err := c.do(http.MethodPut, "/", make([]byte, 8<<20), nil)
			Expect(result.CodeOf(err)).To(Equal(result.CommitUnknown))
		}
	})
})
