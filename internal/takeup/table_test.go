package takeup

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/origin"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func testRecord(account string, n int) Record {
	return Record{
		Key: KeyOf(account, fmt.Sprint(n)), Account: accountHash(account), Origin: origin.Origin{Service: "s", Software: "v1"}, Upstream: fmt.Sprint("u", n%10),
		Incarnation: 1, Until: noon.Add(time.Minute),
	}
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a flood of request ids of one account that takes memory without bound, or the
// records of others.
func TestFloodOfStreamsCostsOnlyTheAccountThatSendsThem(t *testing.T) {
	g := NewWithT(t)
	before := liveHeap()
	table := NewTable(maxRecords)
	for n := range 500 {
		table.Add(testRecord("quiet", n))
	}
	for n := range 4 * maxRecords {
		table.Add(testRecord("flood", n))
	}
	g.Expect(table.Len()).To(Equal(maxRecords))
	for n := range 500 {
		_, ok := table.Get(noon, KeyOf("quiet", fmt.Sprint(n)))
		g.Expect(ok).To(BeTrue())
	}
	_, ok := table.Get(noon, KeyOf("flood", fmt.Sprint(4*maxRecords-1)))
	g.Expect(ok).To(BeTrue(), "the newest of the flood stay")
	g.Expect(liveHeap() - before).To(BeNumerically("<", 16<<20))
	table.Expire(noon.Add(2 * time.Minute))
	g.Expect(table.Len()).To(BeZero())
	g.Expect(table.accounts).To(BeEmpty())
}

// Guards against records that all daemons look for at other replicas than those that keep them,
// or whose copies are in one zone.
func TestKeepersAreTheSameForAllDaemonsAndOfTwoZones(t *testing.T) {
	g := NewWithT(t)
	var replicas []Replica
	for i := range 9 {
		replicas = append(replicas, Replica{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)})
	}
	load, moved := map[string]int{}, 0
	const streams = 3000
	for n := range streams {
		key := KeyOf("a", fmt.Sprint(n))
		got := ranked(key, replicas)
		g.Expect(got).To(HaveLen(len(replicas)))
		g.Expect(got[0].Zone).NotTo(Equal(got[1].Zone))
		reversed := slices.Clone(replicas)
		slices.Reverse(reversed)
		g.Expect(ranked(key, reversed)).To(Equal(got))
		without := ranked(key, replicas[1:])
		if without[0].ID != got[0].ID || without[1].ID != got[1].ID {
			moved++
		}
		for _, r := range got[:copies] {
			load[r.ID]++
		}
	}
	for id, n := range load {
		g.Expect(n).To(BeNumerically("~", copies*streams/len(replicas), streams/20), id)
	}
	g.Expect(moved).To(BeNumerically("<=", load["r0"]), "only the streams that it kept")
}

// Guards against another daemon's records that are no records.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	valid := testRecord("a", 1).toSend(noon)
	_, ok := valid.received(noon)
	g.Expect(ok).To(BeTrue())
	for name, change := range map[string]func(*SentRecord){
		"short key":     func(s *SentRecord) { s.Key = s.Key[:15] },
		"no service":    func(s *SentRecord) { s.Service = "" },
		"over":          func(s *SentRecord) { s.LeftMs = 0 },
		"endless name":  func(s *SentRecord) { s.Software = string(make([]byte, maxNameBytes+1)) },
		"negative time": func(s *SentRecord) { s.LeftMs = -1 << 62 },
	} {
		s := valid
		change(&s)
		_, ok := s.received(noon)
		g.Expect(ok).To(BeFalse(), name)
	}
	valid.LeftMs = 1 << 40
	r, _ := valid.received(noon)
	g.Expect(r.Until).To(Equal(noon.Add(maxRetention)))
}
