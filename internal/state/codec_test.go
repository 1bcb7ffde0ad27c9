package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newLoadedState returns a state with as many open batch jobs as a busy region has.
func newLoadedState() *State {
	s := New()
	for j := range 30 {
		b := Batch{ID: fmt.Sprint("job", j), Account: "one", Retention: time.Hour}
		for i := range 90 {
			b.Items = append(b.Items, BatchItem{ID: fmt.Sprint("item", i), Path: "/run/1", Body: []byte(strings.Repeat("\"x\"\n", 250)), Group: fmt.Sprint(i / 8)})
		}
		s.Apply(Command{At: time.Unix(1e9, 7), BatchAccept: &BatchAccept{Batch: b}})
		for i := range 60 {
			s.Apply(Command{BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: b.ID, Item: fmt.Sprint("item", i), Text: strings.Repeat("token \xff\n", 60), Versions: []uint64{3, 4}, Score: "0.5"}}}})
		}
	}
	return s
}

// Text from an upstream may be invalid UTF-8. A command that could not be decoded after
// its commit would stop every replica.
func TestInvalidUTF8IsPreserved(t *testing.T) {
	g := NewWithT(t)
	text := string([]byte{0, 0xff, 0xc0, '\n', '"', '{'})
	c := Command{At: time.Unix(1e9, 7).UTC(), BatchRecord: &BatchRecord{Results: []BatchResult{{Batch: "b", Item: "i", Text: text}}}}
	b, err := c.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeCommand(b)).To(Equal(c))

	s := newLoadedState()
	b, err = s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Ledger.Batches["job7"].Results).To(Equal(s.Ledger.Batches["job7"].Results))
	g.Expect(decoded.Ledger.Batches["job7"].Accepted).To(BeTemporally("==", time.Unix(1e9, 7)))
	g.Expect(decoded.Encode()).To(Equal(b), "the encoding must be deterministic")
}

// A frozen state must not change while commands are applied to the state, even if another
// goroutine encodes it at the same time.
func TestFrozenStateDoesNotChange(t *testing.T) {
	g := NewWithT(t)
	s := newLoadedState()
	progress := func(after int) {
		for j := range 30 {
			s.Apply(Command{BatchRecord: &BatchRecord{
				Results:  []BatchResult{{Batch: fmt.Sprint("job", j), Item: fmt.Sprint("item", 60+after), Text: "late"}},
				Progress: []BatchProgress{{Batch: fmt.Sprint("job", j), Item: "item89", After: after, Partial: Partial{Events: []string{fmt.Sprint(after)}, LastID: after}}},
			}})
		}
	}
	progress(0)
	progress(1)
	before, err := s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	f, err := s.Freeze()
	g.Expect(err).NotTo(HaveOccurred())
	encoded := make(chan []byte)
	go func() {
		b, _ := f.Encode()
		encoded <- b
	}()
	progress(2)
	progress(3)
	progress(0)
	s.Apply(Command{BatchEnd: &BatchEnd{ID: "job3", Account: "one"}})
	s.Apply(Command{At: time.Unix(2e9, 0), BatchAccept: &BatchAccept{Batch: Batch{ID: "new", Items: []BatchItem{{ID: "i"}}}}})
	g.Expect(<-encoded).To(Equal(before))
	g.Expect(s.Encode()).NotTo(Equal(before))
}

// Data folders of earlier versions, which wrote JSON, must be readable.
func TestJSONOfEarlierVersionsIsRead(t *testing.T) {
	g := NewWithT(t)
	c := Command{At: time.Unix(1e9, 7).UTC(), BatchEnd: &BatchEnd{ID: "b", Account: "one"}}
	b, err := json.Marshal(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeCommand(b)).To(Equal(c))

	s := newLoadedState()
	b, err = json.Marshal(image{Config: s.Config, Ledger: s.Ledger.image()})
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Ledger.Batches["job7"].Items).To(Equal(s.Ledger.Batches["job7"].Items))
}

// DecodeCommand must return an error, or a command that can be encoded again, for any
// input.
func FuzzDecodeCommand(f *testing.F) {
	b, _ := Command{BatchEnd: &BatchEnd{ID: "b"}}.Encode()
	f.Add(b)
	f.Add([]byte(`{"batch_end":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeCommand(b)
		if err != nil {
			return
		}
		if _, err := c.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkEncode measures how long a whole state takes to encode as a snapshot.
func BenchmarkEncode(b *testing.B) {
	s := newLoadedState()
	size := 0
	for b.Loop() {
		e, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(e)
	}
	b.ReportMetric(float64(size), "bytes")
}
