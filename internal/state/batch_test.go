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

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func sampleBatch(id string) Batch {
	return Batch{
		ID: id, Account: "one", Retention: 2 * time.Minute, ItemTTL: 12 * time.Second,
		Items: []BatchItem{{ID: "a", Body: []byte("x")}, {ID: "b"}, {ID: "c"}},
	}
}

func accept(s *State, b Batch, at time.Time) Outcome {
	return s.Apply(Command{At: at, BatchAccept: &BatchAccept{Batch: b}})
}

func TestBatchIsAcceptedOnce(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(accept(s, sampleBatch("j"), noon).Code).To(Equal(result.OK))
	s.Apply(Command{At: noon, BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "j", Item: "b", Text: "t"}}}})
	g.Expect(accept(s, sampleBatch("j"), noon.Add(time.Second)).Code).To(Equal(result.OK))
	g.Expect(s.Ledger.Batches["j"].Results).To(HaveLen(1), "sent again it keeps its results")
	g.Expect(s.Ledger.Batches["j"].Accepted).To(Equal(noon))
	other := sampleBatch("j")
	other.Account = "two"
	g.Expect(accept(s, other, noon).Code).To(Equal(result.NotOwner))
	doubled := sampleBatch("k")
	doubled.Items[1].ID = "a"
	g.Expect(accept(s, doubled, noon).Code).To(Equal(result.BodyMalformed))
}

// Whatever results come in whatever order and however often: positions and
// contents never change, and a snapshot holds the same.
func TestResultsKeepTheirPositions(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := New()
		accept(s, sampleBatch("j"), noon)
		var listed []BatchResult
		for i := range rapid.IntRange(1, 20).Draw(rt, "records") {
			r := BatchResult{
				Batch: rapid.SampledFrom([]string{"j", "unknown"}).Draw(rt, "batch"),
				Item:  rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(rt, "item"),
				Text:  string(rune('a' + i)),
			}
			s.Apply(Command{At: noon, BatchRecord: &BatchRecord{Results: []BatchResult{r}}})
			now := s.Ledger.Batches["j"].Results
			if len(listed) > 0 {
				g.Expect(now[:len(listed)]).To(Equal(listed))
			}
			listed = append([]BatchResult(nil), now...)
			if rapid.Bool().Draw(rt, "restart") {
				b, err := s.Encode()
				g.Expect(err).NotTo(HaveOccurred())
				s, err = Decode(b)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.Ledger.Batches["j"].Results).To(HaveLen(len(listed)))
			}
		}
		g.Expect(len(listed)).To(BeNumerically("<=", 3))
	})
}

func TestBatchIsForgottenAfterItsTime(t *testing.T) {
	g := NewWithT(t)
	s := New()
	accept(s, sampleBatch("ended"), noon)
	accept(s, sampleBatch("open"), noon)
	s.Apply(Command{At: noon, BatchEnd: &BatchEnd{ID: "ended", Account: "one"}})
	accept(s, sampleBatch("later"), noon.Add(119*time.Second))
	g.Expect(s.Ledger.Batches).To(HaveKey("ended"))
	accept(s, sampleBatch("latest"), noon.Add(121*time.Second))
	g.Expect(s.Ledger.Batches).NotTo(HaveKey("ended"))
	g.Expect(s.Ledger.Batches).To(HaveKey("open"), "an open one is kept until its items may be given up")
	g.Expect(s.Apply(Command{At: noon, BatchEnd: &BatchEnd{ID: "ended", Account: "one"}}).Code).To(Equal(result.NotFound))
}

func TestFirstFiguresOfAnIntervalAreFinal(t *testing.T) {
	g := NewWithT(t)
	s := New()
	fix := func(n int64) *Interval {
		return s.Apply(Command{At: noon, IntervalFix: &IntervalFix{Interval: 7, Requests: map[string]int64{"one": n}}}).Interval
	}
	g.Expect(fix(3).Requests["one"]).To(Equal(int64(3)))
	g.Expect(fix(4).Requests["one"]).To(Equal(int64(3)))
}

// The highest version wins whatever the order, an equal or lower one changes
// nothing, and an invalid one is refused whatever its version.
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
			o := s.Apply(Command{At: noon, RoutingPut: &RoutingPut{Configuration: c, Source: string(source)}})
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
