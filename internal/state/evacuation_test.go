package state

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against an evacuation that is lost with a snapshot or on the way to a follower, that is
// counted twice when the operator repeats the call, or that leaves a field behind which builds below
// level 1 cannot read.
func TestEvacuationIsReplicated(t *testing.T) {
	g := NewWithT(t)
	s, follower := New(), NewConfig()
	for i, step := range []struct {
		put     EvacuationPut
		version uint64
		want    map[string]bool
	}{
		{EvacuationPut{"a", false}, 0, nil},
		{EvacuationPut{"a", true}, 1, map[string]bool{"a": true}},
		{EvacuationPut{"a", true}, 1, map[string]bool{"a": true}},
		{EvacuationPut{"b", true}, 2, map[string]bool{"a": true, "b": true}},
		{EvacuationPut{"a", false}, 3, map[string]bool{"b": true}},
		{EvacuationPut{"b", false}, 4, nil},
	} {
		frozen, err := s.Freeze()
		g.Expect(err).NotTo(HaveOccurred())
		before, err := s.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		entry, err := Command{At: time.Unix(1e9, 0).UTC(), EvacuationPut: &step.put}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		c, err := DecodeCommand(entry)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Apply(c)).To(Equal(Outcome{Version: step.version}), "step %d", i)
		change, err := json.Marshal(c)
		g.Expect(err).NotTo(HaveOccurred())
		var followed Command
		g.Expect(UnmarshalStrict(change, &followed)).To(Succeed())
		follower, _ = follower.Apply(followed)
		g.Expect(follower).To(Equal(s.Config), "step %d: a follower holds another configuration", i)
		g.Expect(frozen.Encode()).To(Equal(before), "step %d: the frozen state has changed", i)
		b, err := s.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		held, err := Decode(b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(held.Config.Evacuated).To(Equal(step.want), "step %d", i)
		g.Expect(strings.Contains(string(b), "evacuated")).To(Equal(step.want != nil), "step %d", i)
	}
	for _, zone := range []string{"", strings.Repeat("z", MaxZoneBytes+1), "a/b", "a\xff"} {
		g.Expect(s.Apply(Command{EvacuationPut: &EvacuationPut{Zone: zone, Evacuated: true}}).Code).To(Equal(result.BodyMalformed), "zone %q", zone)
	}
}
