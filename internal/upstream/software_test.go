package upstream

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/member"
)

// Guards against a belief about the software version of an upstream that a heartbeat without
// one, a late one or one of another writer replaces: text would go on at another version.
func TestSoftwareVersionOfAnIncarnationDoesNotChange(t *testing.T) {
	type heartbeat struct {
		incarnation int64
		seq         uint64
		software    string
	}
	for _, c := range []struct {
		name       string
		heartbeats []heartbeat
		want       string
	}{
		{"one version", []heartbeat{{1, 1, "v1"}, {1, 2, "v1"}}, "v1"},
		{"missing later", []heartbeat{{1, 1, "v1"}, {1, 2, ""}, {1, 3, "v1"}}, "v1"},
		{"missing first", []heartbeat{{1, 1, ""}, {1, 2, "v1"}}, "v1"},
		{"never stated", []heartbeat{{1, 1, ""}, {1, 2, ""}}, ""},
		{"two versions", []heartbeat{{1, 1, "v1"}, {1, 2, "v2"}}, SoftwareUnknown},
		{"two versions, in turn", []heartbeat{{1, 1, "v1"}, {1, 2, "v2"}, {1, 3, "v1"}}, SoftwareUnknown},
		{"late", []heartbeat{{1, 2, "v1"}, {1, 1, "v2"}}, "v1"},
		{"started again", []heartbeat{{1, 5, "v1"}, {2, 1, "v2"}}, "v2"},
		{"started again, then a late one of before", []heartbeat{{1, 5, "v1"}, {2, 1, "v2"}, {1, 6, "v1"}}, "v2"},
		{"started again after two versions", []heartbeat{{1, 1, "v1"}, {1, 2, "v2"}, {2, 1, "v2"}}, "v2"},
	} {
		g := NewWithT(t)
		told := &keptBroadcasts{}
		d, other := NewDirectory(told), NewDirectory(told)
		for _, h := range c.heartbeats {
			a := newAnnouncement("u", h.incarnation, h.seq)
			a.Software = h.software
			g.Expect(d.Announce(a)).To(Succeed())
		}
		got, _ := d.Get("u")
		g.Expect(got.Software).To(Equal(c.want), c.name)
		for _, a := range told.sent {
			other.record(a, true)
		}
		got, _ = other.Get("u")
		g.Expect(got.Software).To(Equal(c.want), "%s: at another daemon", c.name)
	}
}

// keptBroadcasts is a Group that keeps what is sent.
type keptBroadcasts struct{ sent []Announcement }

func (*keptBroadcasts) ConfirmAll(context.Context, string, any, time.Duration) (member.ZoneReply, error) {
	return member.ZoneReply{}, nil
}

func (k *keptBroadcasts) Broadcast(_ string, params any) {
	k.sent = append(k.sent, params.(Announcement))
}
