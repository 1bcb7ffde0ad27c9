package takeup

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a stream that runs for longer than the records of streams are kept: once its entry
// is gone, no other could take it up.
func TestRecordOutlivesItsStreamHoweverLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := func() []Replica { return []Replica{{ID: "r", Address: "r"}} }
		current := func(string) (upstream.Announcement, bool) { return upstream.Announcement{}, false }
		keeper := NewKeeper(Deployment{Daemon: "r", Replicas: list, Current: current}, log.New(io.Discard))
		tell := func(_, _ string, params any) { keeper.Told(params.([]SentRecord)) }
		entry := NewKeeper(Deployment{Daemon: "e", Replicas: list, Notify: tell, Current: current}, log.New(io.Discard))
		const lifetime = 45 * time.Minute
		entry.Began("one", "long", upstream.Announcement{ID: "u", Service: "s", Software: "v1"}, time.Now().Add(lifetime))
		entry.Began("one", "brief", upstream.Announcement{ID: "u", Service: "s", Software: "v1"}, time.Now().Add(time.Second))
		entry.send()
		time.Sleep(time.Minute)
		keeper.expire()
		g.Expect(keeper.table.Len()).To(Equal(1), "that of the brief stream")
		time.Sleep(lifetime - time.Minute - time.Second)
		keeper.expire()
		key := KeyOf("one", "long")
		g.Expect(keeper.Answer(FindRequest{Key: key[:]}).Record).NotTo(BeNil())
		time.Sleep(time.Second + retention + time.Second)
		keeper.expire()
		g.Expect(keeper.table.Len()).To(BeZero())
	})
}
