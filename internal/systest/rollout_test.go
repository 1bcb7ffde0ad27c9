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

// stepTimeout is much longer than a step without faults, which takes about a second.
const stepTimeout = 90 * time.Second

// stepRequest returns a request for a step whose groups have different prompts.
func stepRequest(id string, groups, perGroup, tokens int) rollout.StepRequest {
	q := rollout.StepRequest{ID: id, Attempt: 1, PerGroup: perGroup, MaxTokens: tokens}
	for i := range groups {
		q.Groups = append(q.Groups, rollout.Group{Messages: json.RawMessage(fmt.Sprintf(`[{"role":"user","content":"%s %d"}]`, id, i))})
	}
	return q
}

// expectedTokens returns the tokens that the fake engines generate for a sample with the
// segments of s.
func expectedTokens(s rollout.Sample) []string {
	var out []string
	for _, g := range s.Segments {
		for range g.Tokens {
			out = append(out, fmt.Sprintf("t%d@%d", len(out), g.Version))
		}
	}
	return out
}

// trainer receives the samples of a step and checks that each arrives exactly once and in
// order of its position.
type trainer struct {
	c             *cluster
	key           string
	owner         int // daemon at which the step was opened first
	samples       map[[2]int]rollout.Sample
	nextPosition  int
	voidPositions int // positions without a sample
	openCount     int
	onSample      func(rollout.Sample) // more checks; may be nil
}

// run runs a step until it is complete. onSample is called after each sample with the number
// of samples so far.
func (t *trainer) run(q rollout.StepRequest, onSample func(n int)) {
	t.samples, t.nextPosition, t.voidPositions, t.openCount, t.owner = map[[2]int]rollout.Sample{}, 1, 0, 0, 0
	caller := standin.Caller{Entries: t.c.entries(), Zone: "a", Key: t.key, OnStepOpened: func(entry string) {
		t.openCount++
		for i := 1; i <= daemons && t.owner == 0; i++ {
			if t.c.entry(i) == entry {
				t.owner = i
			}
		}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	err := caller.RunStep(ctx, "hint", q, func(s rollout.Sample) {
		t.c.g.Expect(s.Position).To(Equal(t.nextPosition), "a position is missing or repeated")
		t.nextPosition++
		if s.Void {
			t.voidPositions++
			return
		}
		at := [2]int{s.Group, s.Index}
		t.c.g.Expect(t.samples).NotTo(HaveKey(at), "a sample arrived twice")
		t.c.g.Expect(strings.Fields(s.Text)).To(Equal(expectedTokens(s)), "a version label differs from the version that the engine ran")
		if t.onSample != nil {
			t.onSample(s)
		}
		t.samples[at] = s
		onSample(len(t.samples))
	})
	t.c.g.Expect(err).NotTo(HaveOccurred())
	t.c.g.Expect(t.samples).To(HaveLen(q.PerGroup * len(q.Groups)))
}

// The owner of a step, which is the daemon that runs it, is killed, frozen, isolated and shut
// down gracefully at random times. The trainer must receive each sample exactly once. After a
// graceful shutdown it must not have to open the step again.
func TestStepSurvivesLossOfItsOwner(t *testing.T) {
	c := newCluster(t, "")
	tr := trainer{c: c, key: c.createAccount("owner")}
	c.putDocument(hintDocument)
	for i := range 4 {
		c.startEngine(standin.Options{ID: fmt.Sprint("engine-", i), Service: "hint", TokenTime: standin.DefaultTokenTime, Zone: c.zone(i + 1)})
	}
	rnd := rand.New(rand.NewPCG(20261203, 1))
	faults := []struct {
		name            string
		inject, restore func(int)
	}{
		{"killed", c.kill, c.start},
		{"frozen", c.freeze, c.unfreeze},
		{"isolated", c.isolate, c.heal},
		{"drained", c.terminate, c.start},
	}
	const groups, perGroup = 40, 8
	var injections sync.WaitGroup
	defer injections.Wait() // also if a check fails meanwhile
	for _, f := range faults {
		at := time.Duration(rnd.IntN(600)) * time.Millisecond
		restored := make(chan struct{})
		tr.run(stepRequest(f.name, groups, perGroup, 32), func(n int) {
			if n != 1 {
				return
			}
			injections.Go(func() {
				defer close(restored)
				time.Sleep(at)
				f.inject(tr.owner)
				// A frozen or isolated owner becomes available again while the step runs.
				time.Sleep(6 * time.Second)
				f.restore(tr.owner)
			})
		})
		t.Logf("%s %v after the first sample: %d void positions", f.name, at, tr.voidPositions)
		if f.name == "drained" {
			c.g.Expect(tr.openCount).To(Equal(1), "the step was not handed over")
		}
		<-restored
		c.g.Eventually(func() bool { s, err := c.status(tr.owner); return err == nil && s.Fresh }, "20s", "50ms").Should(BeTrue())
	}
}
