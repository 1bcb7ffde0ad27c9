package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The caller's context ends while its task waits for a busy loop. The task runs later and
// must not share any data with the caller; the race detector checks that.
func TestLateTaskSharesNoDataWithCaller(t *testing.T) {
	g := NewWithT(t)
	r := &Replica{tasks: make(chan func(), 1), done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	got, err := callInLoop(ctx, r, func() []int { return []int{1} })
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(got).To(BeNil())
	late := make(chan struct{})
	go func() { (<-r.tasks)(); close(late) }()
	<-late

	go func() { (<-r.tasks)() }()
	got, err = callInLoop(t.Context(), r, func() []int { return []int{2} })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal([]int{2}))
}
