package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// completeBatch accepts a job that is retained until its end, and records all results.
func completeBatch(s *State, id string, at time.Time, limit int) {
	b := newTestBatch(id)
	b.EndedRetention = time.Minute
	s.Apply(Command{At: at, BatchAccept: &BatchAccept{Batch: b, RetainedLimit: limit}})
	for _, it := range b.Items {
		s.Apply(Command{At: at, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: id, Item: it.ID, Text: strings.Repeat("t", 1000)}}}})
	}
}

// Guards against a complete job that is discarded before its caller has ended it, against an end whose
// repetition finds no job, and against jobs that are never discarded. A job of an older build, in a
// mixed group, is discarded as that build does.
func TestBatchIsRetainedUntilItsEnd(t *testing.T) {
	g := NewWithT(t)
	s := New()
	completeBatch(s, "j", testTime, 1<<20)
	acceptBatch(s, newTestBatch("older"), testTime)
	s.Apply(Command{At: testTime, BatchEnd: &BatchEnd{ID: "older", Account: "one"}})
	results := s.Ledger.Batches["j"].Results
	end := func(at time.Duration) result.Code {
		return s.Apply(Command{At: testTime.Add(at), BatchEnd: &BatchEnd{ID: "j", Account: "one"}}).Code
	}
	for at := time.Minute; at < 2*time.Hour; at += time.Minute {
		acceptBatch(s, newTestBatch("j"), testTime.Add(at)) // again
		completeBatch(s, fmt.Sprint("later-", at), testTime.Add(at), 1<<20)
		g.Expect(s.Ledger.Batches).To(HaveKey("j"), "%v", at)
	}
	g.Expect(s.Ledger.Batches).NotTo(HaveKey("older"))
	b, err := s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	s, err = Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Ledger.Batches["j"].Results).To(Equal(results))
	g.Expect(s.Ledger.Batches["j"].Items).To(Equal([]BatchItem{{ID: "a"}, {ID: "b"}, {ID: "c"}}), "requests are not needed any more")

	g.Expect(end(2 * time.Hour)).To(Equal(result.OK))
	completeBatch(s, "k", testTime.Add(2*time.Hour+time.Minute), 1<<20)
	g.Expect(end(2*time.Hour + time.Minute)).To(Equal(result.OK))
	g.Expect(s.Ledger.Batches["j"].Results).To(Equal(results))
	completeBatch(s, "l", testTime.Add(2*time.Hour+time.Minute+time.Second), 100<<20)
	g.Expect(s.Ledger.Batches).To(HaveKey("j"), "there is room")
	completeBatch(s, "m", testTime.Add(2*time.Hour+time.Minute+time.Second), 1<<20)
	g.Expect(s.Ledger.Batches).NotTo(HaveKey("j"))
}

// Guards against abandoned jobs that fill the memory of all replicas. Jobs are discarded only above the
// bound, the oldest first, none within its retention, and the same ones at a replica that has a
// snapshot instead of the commands.
func TestAbandonedBatchesAreBounded(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := New()
		at := testTime
		accepted := map[string]time.Time{}
		for i := range rapid.IntRange(1, 40).Draw(rt, "jobs") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "seconds")) * time.Second)
			limit := rapid.IntRange(0, 30).Draw(rt, "kilobytes") << 10
			before := s.Ledger.RetainedBytes()
			id := fmt.Sprint("j", i)
			b := newTestBatch(id)
			b.EndedRetention = time.Minute
			s.Apply(Command{At: at, BatchAccept: &BatchAccept{Batch: b, RetainedLimit: limit}})
			accepted[id] = at
			for _, d := range s.Discarded() {
				g.Expect(d.Reason != DiscardEnded || before+5000 > limit/endedShare).To(BeTrue(), "%v discarded although there is room", d)
				g.Expect(at.Sub(d.Accepted)).To(BeNumerically(">", 2*time.Minute))
				g.Expect(d.Ended || limit > 0 && before+5000 > limit).To(BeTrue(), "%v discarded within the bound", d)
				for id, b := range s.Ledger.Batches {
					g.Expect(d.Ended || b.Ended || b.Open() || !b.Accepted.Before(d.Accepted)).To(BeTrue(), "%s is older than %v", id, d)
				}
			}
			if limit > 0 && s.Ledger.RetainedBytes() > limit {
				g.Expect(s.Ledger.RetainedBytes()).To(Equal(s.Ledger.FixedBytes(at)))
			}
			for id, a := range accepted {
				if at.Sub(a) <= 2*time.Minute {
					g.Expect(s.Ledger.Batches).To(HaveKey(id))
				}
			}
			completed := rapid.IntRange(0, 3).Draw(rt, "results")
			for _, it := range b.Items[:completed] {
				s.Apply(Command{At: at, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: id, Item: it.ID, Text: strings.Repeat("t", 100*i)}}}})
			}
			if rapid.Bool().Draw(rt, "end") {
				s.Apply(Command{At: at, BatchEnd: &BatchEnd{ID: id, Account: "one"}})
			}
			encoded, err := s.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			decoded, err := Decode(encoded)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded.Ledger.RetainedBytes()).To(Equal(s.Ledger.RetainedBytes()), "a replica with a snapshot would discard other jobs")
			if rapid.Bool().Draw(rt, "snapshot") {
				s = decoded
			}
		}
	})
}
