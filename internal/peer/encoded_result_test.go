package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// encodedText is an EncodedResult: a JSON string, or an error if it is empty.
type encodedText []byte

func (e encodedText) EncodeJSON() ([]byte, error) {
	if len(e) == 0 {
		return nil, errors.New("no text")
	}
	return e, nil
}

// startServer serves s on a loopback address until the test ends.
func startServer(t *testing.T, s *Server) (address string, c *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go s.Serve(context.Background(), l)
	c = NewClient(DialFrom(""))
	t.Cleanup(func() {
		l.Close()
		c.Close()
		s.Close()
	})
	return l.Addr().String(), c
}

// A replica that answers dozens of followers with the same large configuration spent its
// processor time on encoding it several times for each, and it reached entries late.
func TestResultIsEncodedAtMostOnce(t *testing.T) {
	const (
		calls = 10
		// A frame whose buffer grows by doubling (2) and two decodings at the caller; at the
		// server one encoding in such a buffer (2) and its copy.
		maxBytesForEach = 7
	)
	g := NewWithT(t)
	text, err := json.Marshal(strings.Repeat("route ", 20_000))
	g.Expect(err).NotTo(HaveOccurred())
	s := NewServer()
	Handle(s, "encoded", func(context.Context, struct{}) (encodedText, error) { return encodedText(text), nil })
	Handle(s, "plain", func(context.Context, struct{}) (json.RawMessage, error) { return text, nil })
	address, c := startServer(t, s)
	for _, method := range []string{"encoded", "plain"} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range calls {
			got, err := Call[json.RawMessage](t.Context(), c, address, method, struct{}{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got) == string(text)).To(BeTrue())
		}
		runtime.ReadMemStats(&after)
		allocated := float64(after.TotalAlloc-before.TotalAlloc) / calls / float64(len(text))
		t.Logf("%s: %.1f bytes allocated for each byte by both sides", method, allocated)
		g.Expect(allocated).To(BeNumerically("<=", maxBytesForEach))
	}
}

// A result that can't be encoded must end the call, and the connection must stay usable.
func TestEncodedResultThatFailsIsReported(t *testing.T) {
	g := NewWithT(t)
	s := NewServer()
	Handle(s, "broken", func(context.Context, struct{}) (encodedText, error) { return nil, nil })
	Handle(s, "sound", func(context.Context, struct{}) (encodedText, error) { return encodedText(`"x"`), nil })
	address, c := startServer(t, s)
	_, err := Call[string](t.Context(), c, address, "broken", struct{}{})
	g.Expect(result.CodeOf(err)).To(Equal(result.Internal))
	g.Expect(err).To(MatchError(ContainSubstring("no text")))
	g.Expect(Call[string](t.Context(), c, address, "sound", struct{}{})).To(Equal("x"))
}
