package control

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// newLargeState returns a state of about 21 MB: batch jobs of which some items have results and
// some partial output, as on a busy region.
func newLargeState() *state.State {
	s := state.New()
	at := time.Unix(1e9, 0)
	event := strings.Repeat("t", 60)
	for j := range 40 {
		b := state.Batch{ID: fmt.Sprint("job", j), Account: "one", Retention: time.Hour}
		for i := range 128 {
			b.Items = append(b.Items, state.BatchItem{
				ID: fmt.Sprint("item", i), Path: "/run/1", Body: []byte(strings.Repeat("b", 1500)), Group: fmt.Sprint(i / 8),
				Header: []state.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Priority", Value: "u=5"}},
			})
		}
		s.Apply(state.Command{At: at, BatchAccept: &state.BatchAccept{Batch: b}})
		for i := range 128 {
			id := fmt.Sprint("item", i)
			r := state.BatchRecord{}
			if i < 70 {
				r.Results = []state.BatchResult{{Batch: b.ID, Item: id, Text: strings.Repeat(event+"\n", 45), Versions: []uint64{3, 4}, Score: "0.5"}}
			} else if i < 110 {
				p := state.Partial{LastID: 30, Versions: []uint64{3}}
				for range 30 {
					p.Events = append(p.Events, event)
				}
				r.Progress = []state.BatchProgress{{Batch: b.ID, Item: id, Partial: p}}
			}
			s.Apply(state.Command{At: at, BatchRecord: &r})
		}
	}
	return s
}

// newLogEntries returns entries of about 10 MB, less than a log holds when the next snapshot is
// written: partial output, results and a batch job now and then.
func newLogEntries() []consensus.Entry {
	event := strings.Repeat("t", 60)
	out := make([]consensus.Entry, 0, 800)
	for i := range 800 {
		c := state.Command{At: time.Unix(1e9, int64(i)), BatchRecord: &state.BatchRecord{}}
		for k := range 20 {
			item := fmt.Sprint("item", 110+(i+k)%18)
			p := state.Partial{LastID: 5, Versions: []uint64{3}, Events: []string{event, event, event, event, event}}
			c.BatchRecord.Progress = append(c.BatchRecord.Progress, state.BatchProgress{Batch: fmt.Sprint("job", i%40), Item: item, Partial: p})
			c.BatchRecord.Results = append(c.BatchRecord.Results, state.BatchResult{Batch: fmt.Sprint("job", i%40), Item: item + "x", Text: strings.Repeat(event, 2)})
		}
		data, err := c.Encode()
		if err != nil {
			panic(err)
		}
		out = append(out, consensus.Entry{Index: uint64(i) + 2, Term: 1, Data: data})
	}
	return out
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOpen measures how long a replica takes to read a data folder with a large snapshot
// and a long log, and to apply it.
func BenchmarkOpen(b *testing.B) {
	data, err := newLargeState().Encode()
	if err != nil {
		b.Fatal(err)
	}
	dir := b.TempDir()
	id := storage.Identity{Cluster: "c", ID: "a"}
	meta := consensus.SnapshotMeta{Index: 1, Term: 1, Members: consensus.Membership{"a": {ID: "a", Voter: true}}}
	if err := storage.Create(dir, id, consensus.Snapshot{Meta: meta, Data: data}); err != nil {
		b.Fatal(err)
	}
	disk, _, err := storage.Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	logBytes := 0
	for _, e := range newLogEntries() {
		logBytes += len(e.Data)
		if err := disk.Append(&consensus.HardState{Term: 1, Vote: "a", Commit: e.Index}, []consensus.Entry{e}); err != nil {
			b.Fatal(err)
		}
	}
	disk.Close()
	logger := log.New(io.Discard)
	started := processorTime()
	for b.Loop() {
		r, _, err := openReplica(osFolders, dir, "", nil, logger)
		if err != nil {
			b.Fatal(err)
		}
		if err := r.processReady(); err != nil {
			b.Fatal(err)
		}
		r.disk.Close()
	}
	b.ReportMetric(float64((processorTime()-started).Milliseconds())/float64(b.N), "cpu-ms/op")
	b.ReportMetric(float64(logBytes), "log-bytes")
	b.ReportMetric(float64(len(data)), "bytes")
}
