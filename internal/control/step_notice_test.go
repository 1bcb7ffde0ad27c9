package control

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// A message that a decoder changes would corrupt the log of a replica without an error.
func TestStepNoticeDecodesLikeJSON(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`"d":"`, `x","d":"AQ=="`, `\"d\":\"`}))
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		n := StepNotice{Cluster: text.Draw(rt, "cluster"), Address: text.Draw(rt, "address")}
		n.Message = consensus.Message{Kind: consensus.MsgAppend, From: consensus.ID(text.Draw(rt, "from")), Term: rapid.Uint64().Draw(rt, "term")}
		for i := range rapid.IntRange(0, 4).Draw(rt, "entries") {
			data := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "data"), rapid.SampledFrom([]int{0, 1, 300}).Draw(rt, "repeat"))
			n.Message.Entries = append(n.Message.Entries, consensus.Entry{Index: uint64(i), Term: 3, Kind: consensus.EntryKind(i % 3), Data: data})
		}
		if rapid.Bool().Draw(rt, "snapshot") {
			n.Message.Snapshot = &consensus.Snapshot{Meta: consensus.SnapshotMeta{Members: consensus.Membership{"b": {ID: "b", Address: text.Draw(rt, "member")}}}}
		}
		raw, err := json.Marshal(n)
		g.Expect(err).NotTo(HaveOccurred())
		var want StepNotice
		g.Expect(json.Unmarshal(raw, &want)).To(Succeed())
		got, err := decodeStepNotice(raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
	})
}

// FuzzStepNotice checks that bytes of another daemon never crash the decoder, and that it
// accepts no more than the generic one.
func FuzzStepNotice(f *testing.F) {
	f.Add([]byte(`{"c":"x","a":"y","m":{"k":2,"f":"a","o":"b","t":1,"e":[{"i":1,"t":1,"d":"AQ=="}]}}`))
	f.Add([]byte(`{"d":"`))
	f.Add([]byte(`"d":"AQ==","d":"AQ=="`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := decodeStepNotice(raw); err != nil {
			return
		}
		var n StepNotice
		if err := json.Unmarshal(raw, &n); err != nil {
			t.Fatalf("the generic decoder rejects it: %v", err)
		}
	})
}
