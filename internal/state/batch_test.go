package state

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

var testTime = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func newTestBatch(id string) Batch {
	return Batch{
		ID: id, Account: "one", Retention: 2 * time.Minute, ItemTTL: 12 * time.Second,
		Items: []BatchItem{{ID: "a", Body: []byte("x")}, {ID: "b"}, {ID: "c"}},
	}
}

func acceptBatch(s *State, b Batch, at time.Time) Outcome {
	return s.Apply(Command{At: at, BatchAccept: &BatchAccept{Batch: b}})
}

func TestBatchIsAcceptedOnce(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(acceptBatch(s, newTestBatch("j"), testTime).Code).To(Equal(result.OK))
	s.Apply(Command{At: testTime, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "j", Item: "b", Text: "t"}}}})
	g.Expect(acceptBatch(s, newTestBatch("j"), testTime.Add(time.Second)).Code).To(Equal(result.OK))
	g.Expect(s.Ledger.Batches["j"].Results).To(HaveLen(1), "a job that is submitted again keeps its results")
	g.Expect(s.Ledger.Batches["j"].Accepted).To(Equal(testTime))
	other := newTestBatch("j")
	other.Account = "two"
	g.Expect(acceptBatch(s, other, testTime).Code).To(Equal(result.NotOwner))
	duplicate := newTestBatch("k")
	duplicate.Items[1].ID = "a"
	g.Expect(acceptBatch(s, duplicate, testTime).Code).To(Equal(result.BodyMalformed))
}

// Results may arrive in any order and repeatedly. The positions and contents of recorded
// results must never change, and a snapshot must preserve them.
func TestRecordedResultsNeverChange(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := New()
		acceptBatch(s, newTestBatch("j"), testTime)
		var recorded []BatchResult
		for i := range rapid.IntRange(1, 20).Draw(rt, "records") {
			r := BatchResult{
				Batch: rapid.SampledFrom([]string{"j", "unknown"}).Draw(rt, "batch"),
				Item:  rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(rt, "item"),
				Text:  string(rune('a' + i)),
			}
			s.Apply(Command{At: testTime, BatchRecord: &BatchRecord{Results: []BatchResult{r}}})
			now := s.Ledger.Batches["j"].Results
			if len(recorded) > 0 {
				g.Expect(now[:len(recorded)]).To(Equal(recorded))
			}
			recorded = append([]BatchResult(nil), now...)
			if rapid.Bool().Draw(rt, "restart") {
				b, err := s.Encode()
				g.Expect(err).NotTo(HaveOccurred())
				s, err = Decode(b)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.Ledger.Batches["j"].Results).To(HaveLen(len(recorded)))
			}
		}
		g.Expect(len(recorded)).To(BeNumerically("<=", 3))
	})
}

func TestBatchIsDiscardedAfterRetention(t *testing.T) {
	g := NewWithT(t)
	s := New()
	acceptBatch(s, newTestBatch("ended"), testTime)
	acceptBatch(s, newTestBatch("open"), testTime)
	s.Apply(Command{At: testTime, BatchEnd: &BatchEnd{ID: "ended", Account: "one"}})
	acceptBatch(s, newTestBatch("later"), testTime.Add(119*time.Second))
	g.Expect(s.Ledger.Batches).To(HaveKey("ended"))
	acceptBatch(s, newTestBatch("latest"), testTime.Add(121*time.Second))
	g.Expect(s.Ledger.Batches).NotTo(HaveKey("ended"))
	g.Expect(s.Ledger.Batches).To(HaveKey("open"), "an open job is retained for its ItemTTL longer")
	g.Expect(s.Apply(Command{At: testTime, BatchEnd: &BatchEnd{ID: "ended", Account: "one"}}).Code).To(Equal(result.NotFound))
}

func TestFirstCountsOfIntervalAreFinal(t *testing.T) {
	g := NewWithT(t)
	s := New()
	fix := func(n int64) *Interval {
		return s.Apply(Command{At: testTime, IntervalFix: &IntervalFix{Interval: 7, Requests: map[string]int64{"one": n}}}).Interval
	}
	g.Expect(fix(3).Requests["one"]).To(Equal(int64(3)))
	g.Expect(fix(4).Requests["one"]).To(Equal(int64(3)))
}

// The highest version must win in any order of arrival. An equal or lower version must
// change nothing, and an invalid configuration must be rejected whatever its version.
func TestHighestRoutingVersionWins(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := New()
		highest := uint64(0)
		for range rapid.IntRange(1, 15).Draw(rt, "puts") {
			v := rapid.Uint64Range(1, 9).Draw(rt, "version")
			c := &routing.Configuration{Version: v, Services: []routing.Service{{Name: "s"}}}
			valid := rapid.Bool().Draw(rt, "valid")
			if !valid {
				c.Services = append(c.Services, routing.Service{Name: "s"})
			}
			source, _ := json.Marshal(v)
			o := s.Apply(Command{At: testTime, RoutingPut: &RoutingPut{Configuration: c, Source: string(source)}})
			if !valid {
				g.Expect(o.Code).To(Equal(result.DocumentInvalid))
				continue
			}
			g.Expect(o.Code).To(Equal(result.OK))
			highest = max(highest, v)
			g.Expect(s.Config.Routing.Version).To(Equal(highest))
			g.Expect(s.Ledger.Source.Version).To(Equal(highest))
		}
	})
}

// An ended job keeps what can still be read: results, and the bodies of items without one. Its
// requests, about as large as its results, must not stay in memory and snapshots for minutes.
// A state frozen before is unchanged.
func TestEndedBatchDropsItsRequests(t *testing.T) {
	g := NewWithT(t)
	newState := func() *State {
		s := New()
		b := newTestBatch("j")
		for i := range b.Items {
			b.Items[i].Body, b.Items[i].Header, b.Items[i].Reward = []byte("body"), []Field{{Name: "n", Value: "v"}}, &Reward{ID: "r", Body: []byte("reward")}
		}
		acceptBatch(s, b, testTime)
		s.Apply(Command{At: testTime, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "j", Item: "b", Text: "t"}}}})
		return s
	}
	s := newState()
	frozen, err := s.Freeze()
	g.Expect(err).NotTo(HaveOccurred())
	before, err := newState().Encode()
	g.Expect(err).NotTo(HaveOccurred())
	s.Apply(Command{At: testTime, BatchEnd: &BatchEnd{ID: "j", Account: "one"}})
	items := s.Ledger.Batches["j"].Items
	g.Expect(items).To(Equal([]BatchItem{{ID: "a", Body: []byte("body")}, {ID: "b"}, {ID: "c", Body: []byte("body")}}))
	g.Expect(frozen.Encode()).To(Equal(before))
	s.Apply(Command{At: testTime, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "j", Item: "a", Text: "late"}}}})
	g.Expect(s.Ledger.Batches["j"].Results).To(HaveLen(2), "a run that ended meanwhile is still listed")

	complete := newState()
	complete.Apply(Command{At: testTime, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "j", Item: "a"}, {Batch: "j", Item: "c"}}}})
	g.Expect(complete.Ledger.Batches["j"].Items[0].Body).To(Equal([]byte("body")), "the caller has not ended it")
	complete.Apply(Command{At: testTime, BatchEnd: &BatchEnd{ID: "j", Account: "one"}})
	for _, it := range complete.Ledger.Batches["j"].Items {
		g.Expect(it).To(Equal(BatchItem{ID: it.ID}))
	}
}
