package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Guards against reads of batch jobs that take memory for good: of jobs that are not known, complete or
// discarded since. A read that waits gets the result.
func TestReadsOfBatchJobsLeaveNothingBehind(t *testing.T) {
	g := NewWithT(t)
	r := startSingleReplica(t, t.TempDir())
	propose := func(c state.Command) {
		o, err := r.Propose(t.Context(), ProposeRequest{Command: c})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(o.Err()).To(Succeed())
	}
	accept := func(id string) {
		propose(state.Command{BatchAccept: &state.BatchAccept{Batch: state.Batch{ID: id, Account: "one", Retention: time.Millisecond, Items: []state.BatchItem{{ID: "i"}}}}})
	}
	read := func(id string, wait time.Duration) (BatchReadReply, error) {
		return r.ReadBatch(t.Context(), BatchReadRequest{ID: id, Account: "one", Wait: wait})
	}
	for i := range 20 {
		id := fmt.Sprint("j", i)
		_, err := read(id, time.Second)
		g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
		accept(id)
		_, err = read(id, time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		if i%2 == 0 {
			continue // discarded while it is open
		}
		time.AfterFunc(50*time.Millisecond, func() {
			_, _ = r.Propose(t.Context(), ProposeRequest{Command: state.Command{BatchRecord: &state.BatchRecord{Results: []state.BatchResult{{Batch: id, Item: "i", Text: "t"}}}}})
		})
		g.Eventually(func() int {
			reply, err := read(id, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			return len(reply.Results)
		}).Should(Equal(1))
		_, err = read(id, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(10 * time.Millisecond)
	accept("last") // discards the others
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	g.Expect(r.batchChanged).To(BeEmpty())
}
