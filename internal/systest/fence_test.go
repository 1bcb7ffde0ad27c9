package systest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/fenced"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// outside serves h behind a relay, so that it can be cut off from daemons, and
// returns its URL.
func (c *cluster) outside(host int, h http.Handler) string {
	address := c.ip(host) + ":9000"
	target := c.ip(host) + ":9001"
	ctx := c.ctx()
	go func() { _ = standin.Listen(ctx, target, h) }()
	c.g.Expect(c.wire.relay(address, target, c.stop)).To(Succeed())
	return "http://" + address
}

const orderingDocument = hintDocument + `
[capacity]
zones = a, b, c
floor = 1
price = 1
`

// Leaders are frozen, cut off from the others or from the receivers, and killed,
// at any moment. The receivers ignore fencing: only the leaders keep an order of
// an earlier one from coming after an order of a later one.
func TestReceiversThatIgnoreFencingNeverSeeAnOldLeader(t *testing.T) {
	usage := standin.NewReceiver()
	usage.IgnoreFencing = true
	usage.LoseEvery = 2
	orders := &deafPlatform{}
	c := &cluster{net: int(nets.Load()) + 21}
	extra := fmt.Sprintf("\n[platform]\norders_url = http://%s:9000/orders\nusage_url = http://%s:9000/usage\nwindow = 1s\n", c.ip(240), c.ip(241))
	c = newCluster(t, extra)
	c.outside(240, orders)
	c.outside(241, usage.Handler())
	c.account("owner")
	c.document(orderingDocument)
	more := func(n int) {
		c.g.Eventually(func() int { return len(orders.seen()) }, 30*time.Second, 5*time.Millisecond).Should(BeNumerically(">", n))
	}
	more(0)

	rnd := rand.New(rand.NewPCG(20261203, 1))
	faults := []func(int) func(){c.frozen, c.cutOff, c.cutFromReceivers, c.killed}
	for round := range 6 {
		old := c.leader(4)
		c.g.Expect(old).NotTo(BeZero())
		more(len(orders.seen()))
		before := len(orders.seen())
		// The next try comes 2 s after this one: about when the fault does.
		time.Sleep(time.Duration(1500+rnd.IntN(600)) * time.Millisecond)
		heal := faults[round%len(faults)](old)
		// The cut heals only when the next leader gives orders.
		c.g.Eventually(func() bool {
			seen := orders.seen()
			return len(seen) > before && seen[len(seen)-1] != seen[before-1]
		}, 20*time.Second, 20*time.Millisecond).Should(BeTrue())
		heal()
		c.waitFresh(1, 2, 3, 4, 5, 6)
	}
	for _, fences := range [][]uint64{usage.View().FencingTokens, orders.seen()} {
		c.g.Expect(slices.IsSorted(fences)).To(BeTrue(), "%v", fences)
	}
	c.g.Expect(len(slices.Compact(orders.seen()))).To(BeNumerically(">", 6), "the leader must have changed in every round")
	c.g.Expect(usage.View().Violations).To(BeEmpty())
}

// deafPlatform notes the fencing number of every order and answers none, so
// that each is sent again and again.
type deafPlatform struct {
	mu     sync.Mutex
	fences []uint64
}

func (p *deafPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o fenced.VMOrder
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&o) == nil {
		p.mu.Lock()
		p.fences = append(p.fences, o.Fence)
		p.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	http.NotFound(w, r)
}

func (p *deafPlatform) seen() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.fences)
}

func (c *cluster) frozen(i int) func() {
	c.freeze(i)
	return func() { c.thaw(i) }
}

func (c *cluster) cutOff(i int) func() {
	c.isolate(i)
	return func() { c.heal(i) }
}

// cutFromReceivers takes the leader's leadership too, a moment later, so that
// what it sent into the cut is old when the cut heals.
func (c *cluster) cutFromReceivers(i int) func() {
	for _, host := range []int{240, 241} {
		c.wire.set(c.ip(i), c.ip(host), true)
	}
	time.Sleep(300 * time.Millisecond)
	c.isolate(i)
	return func() {
		for _, host := range []int{240, 241} {
			c.wire.set(c.ip(i), c.ip(host), false)
		}
		c.heal(i)
	}
}

func (c *cluster) killed(i int) func() {
	c.kill(i)
	return func() { c.start(i) }
}
