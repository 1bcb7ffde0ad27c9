package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// addCrashing adds an upstream that crashes under its first request.
func (f *recordingFleet) addCrashing(t *testing.T, id string) {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.Listener.Close()
		s.CloseClientConnections()
	}))
	t.Cleanup(s.Close)
	f.add(id, strings.TrimPrefix(s.URL, "http://"))
}

func owedJob(id string) Job {
	job := newJob(id, true)
	job.Owed, job.Fingerprint = true, ""
	return job
}

// Guards against a job handed in for later that never runs again because upstreams crashed
// while they ran it. Each sending may cost one upstream, and the sender learns of each.
func TestOwedJobRunsAfterCrashes(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 0, nil)
	const crashing = 4
	for i := range crashing {
		f.addCrashing(t, fmt.Sprint("u", i))
	}
	d := f.dispatcher()
	var crashed []string
	job := owedJob("owed")
	job.OnCrash = func(u upstream.Announcement) { crashed = append(crashed, u.ID) }
	for n := range crashing {
		err := d.Run(context.Background(), job, acceptResponse)
		g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
		g.Expect(crashed).To(HaveLen(n + 1))
		job.Exclude = crashed
	}
	g.Expect(crashed).To(ConsistOf("u0", "u1", "u2", "u3"))
	calm := newRecordingFleet(t, 1, func(http.ResponseWriter, *http.Request) {})
	f.add("calm", calm.list[0].Address)
	g.Expect(d.Run(context.Background(), job, acceptResponse)).To(Succeed())
	g.Expect(d.quarantine.List()).To(BeEmpty())
}

// Guards against owed jobs that run alone and take all upstreams away from other requests.
func TestOwedJobsReserveAtMostHalfOfTheUpstreams(t *testing.T) {
	g := NewWithT(t)
	unblock := make(chan struct{})
	f := newRecordingFleet(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != "other" {
			<-unblock
		}
	})
	d := f.dispatcher()
	done := make(chan error)
	const jobs = 6
	for i := range jobs {
		job := owedJob(fmt.Sprint("alone ", i))
		job.Alone = true
		go func() { done <- d.Run(context.Background(), job, acceptResponse) }()
		g.Eventually(f.attemptsByRequest, "2s", "1ms").Should(HaveKey(job.Out.RequestID))
	}
	g.Expect(d.quarantine.Reserved()).To(HaveLen(2))
	g.Expect(d.Run(context.Background(), newJob("other", true), acceptResponse)).To(Succeed())
	close(unblock)
	for range jobs {
		g.Expect(<-done).To(Succeed())
	}
	g.Expect(d.quarantine.Reserved()).To(BeEmpty())
}
