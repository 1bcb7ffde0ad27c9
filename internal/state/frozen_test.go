package state

import (
	"testing"

	. "github.com/onsi/gomega"
)

// largestWrite records the size of the largest single write.
type largestWrite struct{ all, largest int }

func (w *largestWrite) Write(b []byte) (int, error) {
	w.all += len(b)
	w.largest = max(w.largest, len(b))
	return len(b), nil
}

// A replica near its limit of memory writes a snapshot, as all others do at the same index. The
// parts must be small, and the bytes those of the whole encoded at once, which earlier versions
// wrote.
func TestSnapshotIsWrittenInPartsWithTheSameBytes(t *testing.T) {
	g := NewWithT(t)
	s := newLoadedState()
	f, err := s.Freeze()
	g.Expect(err).NotTo(HaveOccurred())
	whole, err := encMode.Marshal(struct {
		Config  any `json:"config"`
		Ledger  any `json:"ledger"`
		Batches any `json:"batches"`
	}{f.config, f.ledger, f.batches})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Encode()).To(Equal(whole))
	var w largestWrite
	g.Expect(f.EncodeTo(&w)).To(Succeed())
	g.Expect(w.all).To(Equal(len(whole)))
	g.Expect(w.largest).To(BeNumerically("<=", 2*len(whole)/len(f.batches)))

	empty, err := New().Freeze()
	g.Expect(err).NotTo(HaveOccurred())
	whole, err = encMode.Marshal(struct {
		Config any `json:"config"`
		Ledger any `json:"ledger"`
	}{empty.config, empty.ledger})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(empty.Encode()).To(Equal(whole))
}
