package rollout

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// A request that is forwarded to another daemon keeps its hash, although the peer protocol
// sorts the keys of objects.
func TestEncodedRequestKeepsItsHash(t *testing.T) {
	g := NewWithT(t)
	q := OpenRequest{Account: "a", Service: "s", Request: EncodedRequest{StepRequest{
		ID: "x", Attempt: 1, PerGroup: 1, MaxTokens: 4,
		Groups: []Group{{Messages: json.RawMessage(`[{"role":"user","content":"<p>"}]`)}},
	}}}
	want, err := q.Request.hash()
	g.Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer()
	peer.Handle(s, MethodOpen, func(_ context.Context, got OpenRequest) (string, error) { return got.Request.hash() })
	peer.Handle(s, MethodAdopt, func(_ context.Context, got Transfer) (string, error) { return got.Request.hash() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go s.Serve(context.Background(), l)
	defer s.Close()
	c := peer.NewClient(peer.DialFrom("127.0.0.1:1"))
	defer c.Close()
	got, err := peer.Call[string](context.Background(), c, l.Addr().String(), MethodOpen, q)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
	got, err = peer.Call[string](context.Background(), c, l.Addr().String(), MethodAdopt, Transfer{Request: q.Request})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
}
