package systest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// stepTimeout is generous: a step without faults takes about a second.
const stepTimeout = 90 * time.Second

func stepRequest(id string, groups, perGroup, tokens int) rollout.StepRequest {
	q := rollout.StepRequest{ID: id, Attempt: 1, PerGroup: perGroup, MaxTokens: tokens}
	for i := range groups {
		q.Groups = append(q.Groups, rollout.Group{Messages: json.RawMessage(fmt.Sprintf(`[{"role":"user","content":"%s %d"}]`, id, i))})
	}
	return q
}

// labelled returns the tokens that the stand-in engines give a sample with these
// segments.
func labelled(s rollout.Sample) []string {
	var out []string
	for _, g := range s.Segments {
		for range g.Tokens {
			out = append(out, fmt.Sprintf("t%d@%d", len(out), g.Version))
		}
	}
	return out
}

// trainer takes a step and checks that every sample comes once, in order.
type trainer struct {
	c     *cluster
	key   string
	owner int // daemon that opened the step first
	seen  map[[2]int]rollout.Sample
	next  int
	voids int
	opens int
	each  func(rollout.Sample) // more checks; may be nil
}

func (t *trainer) run(q rollout.StepRequest, each func(n int)) {
	t.seen, t.next, t.voids, t.opens, t.owner = map[[2]int]rollout.Sample{}, 1, 0, 0, 0
	caller := standin.Caller{Entries: t.c.entries(), Zone: "a", Key: t.key, OnStepOpened: func(entry string) {
		t.opens++
		for i := 1; i <= daemons && t.owner == 0; i++ {
			if t.c.entry(i) == entry {
				t.owner = i
			}
		}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	err := caller.RunStep(ctx, "hint", q, func(s rollout.Sample) {
		t.c.g.Expect(s.Position).To(Equal(t.next), "a gap or a repetition")
		t.next++
		if s.Void {
			t.voids++
			return
		}
		at := [2]int{s.Group, s.Index}
		t.c.g.Expect(t.seen).NotTo(HaveKey(at), "a sample came twice")
		t.c.g.Expect(strings.Fields(s.Text)).To(Equal(labelled(s)), "a label is not what the engines ran")
		if t.each != nil {
			t.each(s)
		}
		t.seen[at] = s
		each(len(t.seen))
	})
	t.c.g.Expect(err).NotTo(HaveOccurred())
	t.c.g.Expect(t.seen).To(HaveLen(q.PerGroup * len(q.Groups)))
}

// The owner of a step is killed, frozen, cut off and shut down at random points:
// the trainer gets each sample exactly once, and a graceful shutdown does not even
// make it open the step again.
func TestStepSurvivesItsOwner(t *testing.T) {
	c := newCluster(t, "")
	x := trainer{c: c, key: c.account("owner")}
	c.document(hintDocument)
	for i := range 4 {
		c.engine(standin.Options{ID: fmt.Sprint("engine-", i), Service: "hint", TokenTime: standin.DefaultTokenTime, Zone: c.zone(i + 1)})
	}
	rnd := rand.New(rand.NewPCG(20261203, 1))
	faults := []struct {
		name       string
		hurt, mend func(int)
	}{
		{"killed", c.kill, c.start},
		{"frozen", c.freeze, c.thaw},
		{"isolated", c.isolate, c.heal},
		{"drained", c.terminate, c.start},
	}
	const groups, perGroup = 40, 8
	var hurting sync.WaitGroup
	defer hurting.Wait() // also when a check fails meanwhile
	for _, f := range faults {
		at := time.Duration(rnd.IntN(600)) * time.Millisecond
		mended := make(chan struct{})
		x.run(stepRequest(f.name, groups, perGroup, 32), func(n int) {
			if n != 1 {
				return
			}
			hurting.Go(func() {
				defer close(mended)
				time.Sleep(at)
				f.hurt(x.owner)
				// A frozen or isolated owner comes back while the step goes on.
				time.Sleep(6 * time.Second)
				f.mend(x.owner)
			})
		})
		t.Logf("%s %v after the first sample: %d void positions", f.name, at, x.voids)
		if f.name == "drained" {
			c.g.Expect(x.opens).To(Equal(1), "the step was not handed over")
		}
		<-mended
		c.g.Eventually(func() bool { s, err := c.status(x.owner); return err == nil && s.Fresh }, "20s", "50ms").Should(BeTrue())
	}
}
