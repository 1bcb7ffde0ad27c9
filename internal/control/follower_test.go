package control

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// stubSource is a Source whose replies come from a function.
type stubSource func(SyncRequest) (SyncReply, error)

func (s stubSource) Sync(_ context.Context, q SyncRequest) (SyncReply, error) { return s(q) }

func newTestFollower(lease time.Duration, s stubSource) *Follower {
	return NewFollower(func() []Source { return []Source{s} }, lease, log.New(io.Discard))
}

// configHistory returns the configurations of versions 0 to n and the changes between
// them.
func configHistory(n int) ([]*state.Config, []Change) {
	all := []*state.Config{state.NewConfig()}
	var changes []Change
	for i := 1; i <= n; i++ {
		c := state.Command{AccountCreate: &state.AccountCreate{Name: fmt.Sprint("a", i)}}
		next, _ := all[i-1].Apply(c)
		all = append(all, next)
		changes = append(changes, Change{Version: uint64(i), Command: c})
	}
	return all, changes
}

// Replies may be late, outdated or from another cluster. The version must never decrease,
// and a version must always have the content with which it was committed.
func TestConfigurationNeverReverts(t *testing.T) {
	testkit.FixSeed()
	const last = 12
	all, changes := configHistory(last)
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		f := newTestFollower(time.Second, nil)
		g.Expect(f.applyReply(SyncReply{Cluster: "c"})).To(Succeed())
		for range rapid.IntRange(1, 20).Draw(rt, "answers") {
			before := f.Config().Version
			from := rapid.IntRange(0, last).Draw(rt, "from")
			to := rapid.IntRange(from, last).Draw(rt, "to")
			reply := SyncReply{Cluster: rapid.SampledFrom([]string{"c", "c", "other"}).Draw(rt, "cluster"), Changes: changes[from:to]}
			if rapid.Bool().Draw(rt, "whole") {
				reply = SyncReply{Cluster: reply.Cluster, Config: all[from]}
			}
			err := f.applyReply(reply)
			now := f.Config()
			g.Expect(now.Version).To(BeNumerically(">=", before))
			g.Expect(now.Accounts).To(Equal(all[now.Version].Accounts))
			if reply.Cluster == "other" {
				g.Expect(err).To(HaveOccurred())
				g.Expect(now.Version).To(Equal(before))
			}
		}
	})
}

// Guards against an entry that refuses requests as not fresh because one replica was slow and had
// no proof: the next one must not hold the request as long again. Replicas of older builds do.
func TestEntryStaysFreshWhenOneSyncFailsSlowly(t *testing.T) {
	const age = 200 * time.Millisecond // of a read point: a heartbeat interval
	for _, older := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			calls := 0
			f := newTestFollower(2500*time.Millisecond, func(q SyncRequest) (SyncReply, error) {
				calls++
				reply := SyncReply{Cluster: "c", Age: age}
				if !q.Unproven && (!q.NoHold || older) {
					time.Sleep(syncWait)
					reply.Held = syncWait
				}
				if calls == 4 { // the control loop was blocked, and the leader's lease has lapsed meanwhile
					time.Sleep(663 * time.Millisecond)
					return SyncReply{}, result.New(result.NotLeader, "no proof")
				}
				return reply, nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			time.Sleep(time.Second)
			stale := 0
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if !f.Fresh() {
					stale++
				}
			}
			cancel()
			<-done
			g.Expect(stale > 0).To(Equal(older), "not fresh for %d ms", 10*stale)
			g.Expect(calls).To(BeNumerically("<", 20), "an entry that is fresh is held")
		})
	}
}

// The freshness lease must start when the content of the reply was certainly the newest,
// not when the reply arrived.
func TestFreshnessLeaseDoesNotStartAtArrivalOfReply(t *testing.T) {
	const lease = 2500 * time.Millisecond
	for _, c := range []struct {
		name                    string
		requestDelay, held, age time.Duration
		replyDelay, fresh       time.Duration
	}{
		{name: "no delay", fresh: lease},
		{name: "slow request", requestDelay: time.Second, fresh: lease},
		{name: "slow reply", replyDelay: time.Second, fresh: lease},
		{name: "held", held: 900 * time.Millisecond, fresh: lease + 900*time.Millisecond},
		{name: "old", age: 700 * time.Millisecond, fresh: lease - 700*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newTestFollower(lease, func(SyncRequest) (SyncReply, error) {
					time.Sleep(c.requestDelay + c.held + c.replyDelay)
					return SyncReply{Cluster: "c", Held: c.held, Age: c.age}, nil
				})
				sentAt := time.Now()
				g.Expect(f.syncOnce(t.Context())).To(BeTrue())
				time.Sleep(time.Until(sentAt.Add(c.fresh - time.Nanosecond)))
				g.Expect(f.Fresh()).To(BeTrue())
				time.Sleep(time.Nanosecond)
				g.Expect(f.Fresh()).To(BeFalse())
			})
		})
	}
}

// After a restart of all daemons, no replica can prove that its configuration is the
// newest until a leader is elected. A follower without a configuration must apply an
// unproven one, must not be fresh, and must keep asking.
func TestFollowerWithoutConfigurationAppliesUnprovenOne(t *testing.T) {
	g := NewWithT(t)
	all, _ := configHistory(3)
	requests := 0
	unproven := stubSource(func(q SyncRequest) (SyncReply, error) {
		requests++
		return SyncReply{Cluster: "c", Config: all[2], Unproven: true}, nil
	})
	proven := stubSource(func(q SyncRequest) (SyncReply, error) {
		requests++
		return SyncReply{Cluster: "c", Config: all[3]}, nil
	})
	f := NewFollower(func() []Source { return []Source{unproven} }, time.Second, log.New(io.Discard))
	g.Expect(f.syncOnce(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(2)))
	g.Expect(f.Fresh()).To(BeFalse())
	f = NewFollower(func() []Source { return []Source{unproven, proven} }, time.Second, log.New(io.Discard))
	requests = 0
	g.Expect(f.syncOnce(t.Context())).To(BeTrue())
	g.Expect(requests).To(Equal(2))
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.Fresh()).To(BeTrue())
}

// The replica that replies first may lack changes that another replica has. Until a
// replica can prove its configuration, the follower must apply the newest unproven one
// and never go back to an older one.
func TestFollowerAppliesNewestUnprovenConfiguration(t *testing.T) {
	g := NewWithT(t)
	all, _ := configHistory(3)
	replica := func(version int) Source {
		return stubSource(func(q SyncRequest) (SyncReply, error) {
			if !q.Unproven || uint64(version) <= q.After {
				return SyncReply{}, result.New(result.NotLeader, "no leader")
			}
			return SyncReply{Cluster: "c", Config: all[version], Unproven: true}, nil
		})
	}
	f := NewFollower(func() []Source { return []Source{replica(1), replica(3), replica(2)} }, time.Second, log.New(io.Discard))
	g.Expect(f.syncOnce(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.syncOnce(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.Fresh()).To(BeFalse())
}
