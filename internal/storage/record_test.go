package storage

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// A record that is decoded otherwise than it was written would corrupt the log of a replica
// without an error. Every build writes records as the generic JSON encoder does, to the byte.
func TestRecordDecodesLikeJSON(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`"d":"`, `x","d":"AQ=="`, `\"d\":\"`}))
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		var r record
		if rapid.Bool().Draw(rt, "hard") {
			r.Hard = &consensus.HardState{Term: rapid.Uint64().Draw(rt, "term"), Vote: consensus.ID(text.Draw(rt, "vote")), Commit: 7}
		}
		for i := range rapid.IntRange(0, 4).Draw(rt, "entries") {
			data := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "data"), rapid.SampledFrom([]int{0, 1, 300}).Draw(rt, "repeat"))
			r.Entries = append(r.Entries, consensus.Entry{Index: uint64(i), Term: 3, Kind: consensus.EntryKind(i % 3), Data: data})
		}
		b, err := encodeRecord(r)
		g.Expect(err).NotTo(HaveOccurred())
		generic, err := json.Marshal(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(b[recordHeaderBytes:])).To(Equal(string(generic)))
		var want record
		g.Expect(json.Unmarshal(b[recordHeaderBytes:], &want)).To(Succeed())
		got, size, status := decodeRecord(b, 0)
		g.Expect([]any{size, status}).To(Equal([]any{len(b), recordIntact}))
		g.Expect(got).To(Equal(want))
	})
}
