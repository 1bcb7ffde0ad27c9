package control

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// Guards against an answer that a voter is absent by a process that may still open its folder or
// found the group again with the same replica, or that holds a replica which may have led: its
// folder lacks only the identity, the group is not known to exist, or its replica is suspended.
func TestOnlyProcessWithEmptyFolderThatJoinsAnswersAbsent(t *testing.T) {
	g := NewWithT(t)
	answers := make(chan StepNotice, 10)
	asker, server := freeAddress(t), peer.NewServer()
	peer.HandleNotice(server, MethodStep, func(n StepNotice) { answers <- n })
	l, err := net.Listen("tcp", asker)
	g.Expect(err).NotTo(HaveOccurred())
	go server.Serve(context.Background(), l)
	client := peer.NewClient(peer.DialFrom(""))
	t.Cleanup(func() { client.Close(); l.Close(); server.Close() })

	const here = "127.0.0.1:9"
	ask := func(register func(*peer.Server), m consensus.Message) {
		s := peer.NewServer()
		register(s)
		m.From, m.To, m.Incarnation = "asker", "lost", 7
		raw, err := json.Marshal(StepNotice{Cluster: "cluster", Address: asker, Message: m})
		g.Expect(err).NotTo(HaveOccurred())
		s.Dispatch(MethodStep, raw)
	}
	question, vote := consensus.Message{Kind: consensus.MsgRestarted}, consensus.Message{Kind: consensus.MsgVote, Term: 3, SentAt: 5, Restarted: true}
	newAbsence := func(dir string) *Absence { return NewAbsence(dir, here, client, log.New(io.Discard)) }

	old := filepath.Join(t.TempDir(), "data")
	g.Expect(createFounder(old, here, []string{here})).To(Succeed())
	disk, _, err := storage.Open(old)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(disk.Close()).To(Succeed())
	g.Expect(os.Remove(filepath.Join(old, "identity.json"))).To(Succeed())
	notEmpty := newAbsence(old)
	notEmpty.Begin()
	undecided := newAbsence(t.TempDir())
	founding := NewFounding(here, []string{here, asker, "127.0.0.1:8"}, undecided)
	founding.record(asker, false)
	suspended, _ := newFaultyReplica(t, freeAddress(t), true)
	suspended.cluster = "cluster"
	run(t, suspended)
	for _, register := range []func(*peer.Server){notEmpty.Register, undecided.Register, founding.Register, suspended.Register} {
		ask(register, question)
		ask(register, vote)
	}
	g.Consistently(answers, 300*time.Millisecond).ShouldNot(Receive())

	founding.record(asker, true)
	var first, second StepNotice
	ask(founding.Register, question)
	g.Eventually(answers, time.Minute).Should(Receive(&first))
	ask(undecided.Register, vote)
	g.Eventually(answers, time.Minute).Should(Receive(&second))
	run := first.Message.Incarnation
	g.Expect(first).To(Equal(StepNotice{Cluster: "cluster", Address: here, Message: consensus.Message{
		Kind: consensus.MsgRestartedReply, From: "lost", To: "asker", Incarnation: run, EchoIncarnation: 7, Absent: true,
	}}))
	g.Expect(second.Message).To(Equal(consensus.Message{
		Kind: consensus.MsgVoteReply, From: "lost", To: "asker", Term: 3, SentAt: 5, Incarnation: run, EchoIncarnation: 7, Absent: true, Reject: true,
	}))
}

// Guards against an answer that counts although it comes from an address at which the voter no
// longer runs, or from another cluster.
func TestAbsentAnswerCountsOnlyFromAddressOfVoter(t *testing.T) {
	g := NewWithT(t)
	addresses := []string{"127.0.0.1:7", "127.0.0.1:8", "127.0.0.1:9"}
	r, _ := newFaultyReplica(t, addresses[0], false, addresses...)
	t.Cleanup(func() { r.disk.Close() })
	r.node.Tick(r.now())
	rd := r.node.Ready()
	r.node.Advance(rd)
	incarnation := rd.Messages[0].Incarnation
	step := func(cluster, address string, m consensus.Message) consensus.Role {
		r.Step(StepNotice{Cluster: cluster, Address: address, Message: m})
		r.processPending()
		return r.node.Status().Role
	}
	self := founderID(addresses[0])
	step(r.cluster, addresses[1], consensus.Message{
		Kind: consensus.MsgRestartedReply, From: founderID(addresses[1]), To: self, Index: 1, LogTerm: 1, Incarnation: 2, EchoIncarnation: incarnation, Restarted: true,
	})
	absent, _ := consensus.AbsentReply(3, consensus.Message{Kind: consensus.MsgRestarted, From: self, To: founderID(addresses[2]), Incarnation: incarnation})
	g.Expect(step(r.cluster, addresses[1], absent)).To(Equal(consensus.Follower))
	g.Expect(step("another", addresses[2], absent)).To(Equal(consensus.Follower))
	g.Expect(step(r.cluster, addresses[2], absent)).To(Equal(consensus.Candidate))
}
