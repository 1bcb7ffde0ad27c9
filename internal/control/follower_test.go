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

// scripted answers syncs by a function.
type scripted func(SyncRequest) (SyncReply, error)

func (s scripted) Sync(_ context.Context, q SyncRequest) (SyncReply, error) { return s(q) }

func follow(lease time.Duration, s scripted) *Follower {
	return NewFollower(func() []Source { return []Source{s} }, lease, log.New(io.Discard))
}

// history returns the configuration at each version, from 0, and the changes
// between them.
func history(n int) ([]*state.Config, []Change) {
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

// Whatever replicas send, late, old or of another cluster: the version never
// goes back, and a version always has the content that it was accepted with.
func TestConfigurationNeverReverts(t *testing.T) {
	testkit.FixSeed()
	const last = 12
	all, changes := history(last)
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		f := follow(time.Second, nil)
		g.Expect(f.take(SyncReply{Cluster: "c"})).To(Succeed())
		for range rapid.IntRange(1, 20).Draw(rt, "answers") {
			before := f.Config().Version
			from := rapid.IntRange(0, last).Draw(rt, "from")
			to := rapid.IntRange(from, last).Draw(rt, "to")
			reply := SyncReply{Cluster: rapid.SampledFrom([]string{"c", "c", "other"}).Draw(rt, "cluster"), Changes: changes[from:to]}
			if rapid.Bool().Draw(rt, "whole") {
				reply = SyncReply{Cluster: reply.Cluster, Config: all[from]}
			}
			err := f.take(reply)
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

// The freshness lease counts from when the answer's content was surely newest,
// not from when the answer came.
func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	const lease = 2500 * time.Millisecond
	for _, c := range []struct {
		name             string
		there, held, age time.Duration
		back, fresh      time.Duration
	}{
		{name: "at once", fresh: lease},
		{name: "slow question", there: time.Second, fresh: lease},
		{name: "slow answer", back: time.Second, fresh: lease},
		{name: "held", held: 900 * time.Millisecond, fresh: lease + 900*time.Millisecond},
		{name: "old", age: 700 * time.Millisecond, fresh: lease - 700*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := follow(lease, func(SyncRequest) (SyncReply, error) {
					time.Sleep(c.there + c.held + c.back)
					return SyncReply{Cluster: "c", Held: c.held, Age: c.age}, nil
				})
				asked := time.Now()
				g.Expect(f.round(t.Context())).To(BeTrue())
				time.Sleep(time.Until(asked.Add(c.fresh - time.Nanosecond)))
				g.Expect(f.Fresh()).To(BeTrue())
				time.Sleep(time.Nanosecond)
				g.Expect(f.Fresh()).To(BeFalse())
			})
		})
	}
}

// After a restart of everything no replica can prove that its copy is the newest
// until a leader is elected. A daemon that holds nothing takes such a copy, but
// does not rely on it, and goes on asking.
func TestDaemonWithoutConfigurationTakesAnUnprovenOne(t *testing.T) {
	g := NewWithT(t)
	all, _ := history(3)
	asked := 0
	unproven := scripted(func(q SyncRequest) (SyncReply, error) {
		asked++
		return SyncReply{Cluster: "c", Config: all[2], Unproven: true}, nil
	})
	proven := scripted(func(q SyncRequest) (SyncReply, error) {
		asked++
		return SyncReply{Cluster: "c", Config: all[3]}, nil
	})
	f := NewFollower(func() []Source { return []Source{unproven} }, time.Second, log.New(io.Discard))
	g.Expect(f.round(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(2)))
	g.Expect(f.Fresh()).To(BeFalse())
	f = NewFollower(func() []Source { return []Source{unproven, proven} }, time.Second, log.New(io.Discard))
	asked = 0
	g.Expect(f.round(t.Context())).To(BeTrue())
	g.Expect(asked).To(Equal(2))
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.Fresh()).To(BeTrue())
}

// The replica that answers first may have missed changes that another one holds.
// Until one can prove its copy, the newest of all is taken, and never an older one
// after that.
func TestNewestOfSeveralUnprovenConfigurationsIsTaken(t *testing.T) {
	g := NewWithT(t)
	all, _ := history(3)
	replica := func(version int) Source {
		return scripted(func(q SyncRequest) (SyncReply, error) {
			if !q.Unproven || uint64(version) <= q.After {
				return SyncReply{}, result.New(result.NotLeader, "no leader")
			}
			return SyncReply{Cluster: "c", Config: all[version], Unproven: true}, nil
		})
	}
	f := NewFollower(func() []Source { return []Source{replica(1), replica(3), replica(2)} }, time.Second, log.New(io.Discard))
	g.Expect(f.round(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.round(t.Context())).To(BeFalse())
	g.Expect(f.Config().Version).To(Equal(uint64(3)))
	g.Expect(f.Fresh()).To(BeFalse())
}
