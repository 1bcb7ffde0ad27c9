package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

var errCut = errors.New("cut")

func cutDial(context.Context, string, string) (net.Conn, error) { return nil, errCut }

// testDaemon is a daemon with a peer address and Links.
type testDaemon struct {
	*Links
	address string
	server  *peer.Server
}

// startDaemon starts a daemon that opens direct connections with dial and knows the upstreams at
// the given addresses. helpers returns the daemons that it may ask.
func startDaemon(t *testing.T, dial sockopt.Dial, helpers func() []Helper, upstreams ...string) *testDaemon {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{NewLinks(dial, log.New(io.Discard)), l.Addr().String(), peer.NewServer()}
	d.Deploy(Deployment{Helpers: helpers, DialHelper: peer.DialFrom(""), Upstreams: func() (out []Upstream) {
		for i, a := range upstreams {
			out = append(out, Upstream{Address: a, Zone: fmt.Sprint("z", i%3)})
		}
		return out
	}}, d.server)
	ctx, cancel := context.WithCancel(context.Background())
	go d.server.Serve(ctx, l)
	t.Cleanup(func() { cancel(); l.Close(); d.server.Close() })
	return d
}

func helpedBy(ds ...*testDaemon) func() []Helper {
	var out []Helper
	for i, d := range ds {
		out = append(out, Helper{Address: d.address, Zone: fmt.Sprint("z", i)})
	}
	return func() []Helper { return out }
}

func addressOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against what a caller sees of a relayed stream differing from a direct one: pieces arrive
// as they are sent, and the upstream notices that the caller has left.
func TestRelayedStreamArrivesInPiecesAndIsCancelled(t *testing.T) {
	g := NewWithT(t)
	next, left := make(chan bool), make(chan bool)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := 0; ; i++ {
			select {
			case <-next:
				fmt.Fprintf(w, "piece %d", i)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				close(left)
				return
			}
		}
	}))
	defer u.Close()
	helper := startDaemon(t, Direct(""), nil, addressOf(u))
	cut := startDaemon(t, cutDial, helpedBy(helper))
	client := &http.Client{Transport: &http.Transport{DialContext: cut.DialAny}}
	go func() { next <- true }()
	resp, err := client.Get(u.URL)
	g.Expect(err).NotTo(HaveOccurred())
	buf := make([]byte, 100)
	for i := range 3 {
		if i > 0 {
			next <- true
		}
		n, err := resp.Body.Read(buf)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(buf[:n])).To(Equal(fmt.Sprint("piece ", i)))
	}
	resp.Body.Close()
	g.Eventually(left, time.Second).Should(BeClosed())
}

// Guards against an answer that ends with its connection looking whole because the helper, or the
// upstream, broke off; and against a large one being changed on the way.
func TestEndOfARelayedAnswerIsThatOfTheUpstream(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	for name, x := range map[string]struct {
		breaksOff func(c net.Conn, helper *testDaemon)
		whole     bool
	}{
		"the upstream ends":   {func(c net.Conn, _ *testDaemon) { c.Close() }, true},
		"the upstream resets": {func(c net.Conn, _ *testDaemon) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, false},
		"the helper ends":     {func(_ net.Conn, h *testDaemon) { h.server.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			helper := startDaemon(t, Direct(""), nil, l.Addr().String())
			cut := startDaemon(t, cutDial, helpedBy(helper))
			read := make(chan bool)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1000))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
				<-read
				x.breaksOff(c, helper)
			}()
			client := &http.Client{Transport: &http.Transport{DialContext: cut.DialRelayed}}
			resp, err := client.Get("http://" + l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			got := make([]byte, len(body))
			_, err = io.ReadFull(resp.Body, got)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got) == body).To(BeTrue(), "the bytes are those of the upstream")
			close(read)
			_, err = io.ReadAll(resp.Body)
			if x.whole {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}

// Guards against a chain or a loop of helpers, against an open proxy, and against a daemon waiting
// for helpers that cannot help.
func TestHelperPassesOnWhatItReachesItself(t *testing.T) {
	g := NewWithT(t)
	u := httptest.NewServer(http.NotFoundHandler())
	defer u.Close()
	sound := startDaemon(t, Direct(""), nil, addressOf(u))
	cutHelper := startDaemon(t, cutDial, helpedBy(sound), addressOf(u)) // would be served itself
	cut := startDaemon(t, cutDial, helpedBy(cutHelper))
	_, err := cut.DialRelayed(t.Context(), "tcp", addressOf(u))
	g.Expect(err).To(MatchError(errUnreachable), "no chain")

	stranger := startDaemon(t, Direct(""), nil)
	cut = startDaemon(t, cutDial, helpedBy(stranger))
	_, err = cut.DialRelayed(t.Context(), "tcp", addressOf(u))
	g.Expect(err).To(MatchError(ContainSubstring("no upstream with this address")))

	deaf, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	g.Expect(err).NotTo(HaveOccurred())
	defer deaf.Close()
	helpers := helpedBy(&testDaemon{address: deaf.Addr().String()}, cutHelper, sound)
	cut = startDaemon(t, cutDial, helpers)
	for range 10 {
		began := time.Now()
		c, err := cut.DialRelayed(t.Context(), "tcp", addressOf(u))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", helpersTimeout))
		c.Close()
	}
}

// Guards against a helper using its descriptors and memory up for others, and against it taking
// connections on while it stops.
func TestHelperBoundsWhatItPassesOn(t *testing.T) {
	g := NewWithT(t)
	u := httptest.NewServer(http.NotFoundHandler())
	defer u.Close()
	helper := startDaemon(t, Direct(""), nil, addressOf(u))
	go helper.Run(t.Context())
	open := func() (net.Conn, error) {
		c, err := peer.DialFrom("")(t.Context(), helper.address)
		g.Expect(err).NotTo(HaveOccurred())
		r, err := openRelayed(c, addressOf(u), time.Now().Add(time.Second))
		if err != nil {
			c.Close()
			return nil, err
		}
		return r, nil
	}
	var conns []net.Conn
	defer func() { // without a later use, the garbage collector closes them during the test
		for _, c := range conns {
			c.Close()
		}
	}()
	for range maxRelayed {
		c, err := open()
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
	}
	_, err := open()
	g.Expect(err).To(MatchError(ContainSubstring("as many connections as it may")))
	conns[0].Close()
	g.Eventually(func() error {
		c, err := open()
		if err == nil {
			c.Close()
		}
		return err
	}, time.Second).Should(Succeed())

	helper.Drain()
	_, err = open()
	g.Expect(err).To(MatchError(ContainSubstring("this daemon stops")), "at once")
	g.Eventually(func() int {
		helper.relay.mu.Lock()
		defer helper.relay.mu.Unlock()
		return len(helper.relay.passed)
	}, 2*time.Second).Should(BeZero(), "idle connections are closed")
	_, err = open()
	g.Expect(err).To(MatchError(ContainSubstring("this daemon stops")))
}

// Guards against openings of other writers: none may hold or end the helper.
func TestOddOpeningsAreRefused(t *testing.T) {
	g := NewWithT(t)
	helper := startDaemon(t, Direct(""), nil)
	for _, text := range []string{"Relay: \n", "Relay: nowhere\r\n", "Relay: 127.0.0.1:0\n", "Relay: " + strings.Repeat("x", 5000) + "\n", "Relay: \x00\xff\n"} {
		c, err := net.Dial("tcp", helper.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(c, text)
		g.Expect(c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		b, err := io.ReadAll(c)
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse(), text[:min(len(text), 20)])
		g.Expect(string(b)).NotTo(ContainSubstring(answerConnected))
		c.Close()
	}
}

// Guards against a daemon that has seen upstreams of one zone crash refusing to connect to the
// others, or to help: all daemons see the same then.
func TestLossOfAZoneOfUpstreamsIsNoLossOfLinks(t *testing.T) {
	g := NewWithT(t)
	u := httptest.NewServer(http.NotFoundHandler())
	defer u.Close()
	zoneOf := map[string]string{"127.0.0.1:1": "a", "127.0.0.1:2": "a", addressOf(u): "b"}
	d := startDaemon(t, Direct(""), func() []Helper { return []Helper{{Address: "127.0.0.1:3", Severed: true}} })
	d.deployment.Upstreams = func() (out []Upstream) {
		for address, zone := range zoneOf {
			out = append(out, Upstream{Address: address, Zone: zone})
		}
		return out
	}
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		_, err := d.DialAny(t.Context(), "tcp", a)
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(d.Severed()).To(BeFalse())
	zoneOf[addressOf(u)] = "a" // only one zone has upstreams
	g.Expect(d.Severed()).To(BeTrue())
	c, err := d.DialAny(t.Context(), "tcp", addressOf(u))
	g.Expect(err).NotTo(HaveOccurred(), "this one has not failed")
	c.Close()
	g.Expect(d.Severed()).To(BeFalse())
}

// Guards against an outage of the provider's interface, which is no upstream, being taken for lost
// links, and against its answers hiding them.
func TestOtherAddressesSayNothingAboutLinks(t *testing.T) {
	g := NewWithT(t)
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	d := startDaemon(t, Direct(""), helpedBy(&testDaemon{address: "127.0.0.1:3"}), "127.0.0.1:1", "127.0.0.1:2")
	d.deployment.Upstreams = func() []Upstream {
		return []Upstream{{Address: "127.0.0.1:1", Zone: "a"}, {Address: "127.0.0.1:2", Zone: "a"}}
	}
	_, err := d.DialPlain(t.Context(), "tcp", "127.0.0.1:9")
	g.Expect(err).To(HaveOccurred())
	d.probe("127.0.0.1:1")
	g.Expect(d.Severed()).To(BeFalse())
	d.probe("127.0.0.1:2")
	g.Expect(d.Severed()).To(BeTrue())
	c, err := d.DialPlain(t.Context(), "tcp", addressOf(other))
	g.Expect(err).NotTo(HaveOccurred())
	c.Close()
	g.Expect(d.Severed()).To(BeTrue())
}

// Guards against the body of a request with home regions that passes through a daemon outside the
// region of its upstream, and against a request that fails because no daemon there can help.
func TestHomeRequestsAreRelayedInTheRegionOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	u := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer u.Close()
	own, far := startDaemon(t, Direct(""), nil, addressOf(u)), startDaemon(t, Direct(""), nil, addressOf(u))
	var helpers []Helper
	cut := startDaemon(t, cutDial, func() []Helper { return helpers })
	region := "far"
	cut.deployment.Region = "r"
	cut.deployment.Upstreams = func() []Upstream { return []Upstream{{Address: addressOf(u), Zone: "f0", Region: region}} }
	dial := func(dial sockopt.Dial) (viaOwn, viaFar bool) {
		c, err := dial(t.Context(), "tcp", addressOf(u))
		if err != nil {
			return false, false
		}
		defer c.Close()
		g.Eventually(func() bool { viaOwn, viaFar = own.Busy(), far.Busy(); return viaOwn || viaFar }, time.Second).Should(BeTrue())
		return viaOwn, viaFar
	}
	idle := func() { g.Eventually(func() bool { return own.Busy() || far.Busy() }, time.Second).Should(BeFalse()) }
	all := []Helper{{Address: own.address, Zone: "z1", Region: "r"}, {Address: far.address, Zone: "f0", Region: "far"}}
	helpers = all
	for range 10 {
		_, viaFar := dial(cut.DialAnyHome)
		g.Expect(viaFar).To(BeTrue())
		idle()
		viaOwn, _ := dial(cut.DialAny)
		g.Expect(viaOwn).To(BeTrue())
		idle()
	}
	region = "" // not known
	for _, helpers = range [][]Helper{all, all[:1]} {
		viaOwn, viaFar := dial(cut.DialRelayedHome)
		g.Expect(viaOwn || viaFar).To(BeFalse())
	}
}
