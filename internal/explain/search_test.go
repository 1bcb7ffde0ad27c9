package explain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func logOf(name, text string) Log {
	return Log{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }}
}

const (
	entryLog = `time=2026-12-04T02:00:00.000Z level=info msg="Configuration active." version=7 routes=3 accounts=2
time=2026-12-04T02:00:01.000Z level=info msg="Upstream is leaving." upstream=i-1
time=2026-12-04T02:00:01.100Z level=info msg="Upstream is up." upstream=i-2
time=2026-12-04T02:00:01.200Z level=info msg="Request answered." request=other status=200
time=2026-12-04T02:00:02.000Z level=warn prefix=proxy msg="Request failed." request=r1 code=206 class=unknown tried="[i-1 i-3]" ms=26 err="the answer \"x\" ended early"
panic: not structured
time=2026-12-04T03:00:00.000Z level=info msg="Configuration active." version=8
`
	replicaLog = `collector store-1 time=2026-12-04T02:00:00.500Z level=info msg="Batch job taken on." batch=b1 items=4
collector store-1 time=2026-12-04T02:00:00.600Z level=info msg="Batch job taken on." batch=b2 items=4
collector store-1 time=2026-12-04T02:00:00.900Z level=info prefix=batch msg="Reward request failed." item=x1 batch=b1 reward=w1 code=310 err=500
collector store-1 time=2026-12-04T02:00:00.800Z level=info prefix=proxy msg="Attempt failed." request=w1 upstream=i-9 status=500
collector store-2 time=2026-12-04T02:00:00.850Z level=info prefix=control msg="Role in the control group." role=3
`
)

func TestRequestIsExplainedByItsLinesAndTheChangesAroundThem(t *testing.T) {
	g := NewWithT(t)
	s, err := Search([]Log{logOf("entry", entryLog), logOf("replicas", replicaLog)}, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Matched).To(HaveLen(1))
	g.Expect(s.Matched[0].Get("err")).To(Equal(`the answer "x" ended early`))
	g.Expect(s.Skipped).To(Equal(1))
	var out bytes.Buffer
	s.Write(&out)
	g.Expect(out.String()).To(ContainSubstring("version=7"))
	g.Expect(out.String()).To(ContainSubstring("upstream=i-1"))
	g.Expect(out.String()).NotTo(ContainSubstring("i-2"), "another upstream")
	g.Expect(out.String()).NotTo(ContainSubstring("request=other"))
	g.Expect(out.String()).NotTo(ContainSubstring("version=8"), "an hour later")
	g.Expect(out.String()).NotTo(ContainSubstring("store-2"), "took no part")
	g.Expect(out.String()).To(ContainSubstring("result 206 upstream-failed (unknown)"))
}

// A request that failed at one process and was answered by another has no failure to
// explain.
func TestLaterSuccessIsTheOutcome(t *testing.T) {
	g := NewWithT(t)
	later := logOf("later", `time=2026-12-04T02:00:03.000Z level=info prefix=proxy msg="Request answered." request=r1 status=200 code=0`+"\n")
	s, err := Search([]Log{logOf("entry", entryLog), later}, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	s.Write(&out)
	g.Expect(out.String()).NotTo(ContainSubstring("result 206"))
}

func TestItemIsExplainedWithItsRewardRequestsAndItsJob(t *testing.T) {
	g := NewWithT(t)
	s, err := Search([]Log{logOf("entry", entryLog), logOf("replicas", replicaLog)}, "x1")
	g.Expect(err).NotTo(HaveOccurred())
	var own, context []string
	for _, l := range s.Matched {
		own = append(own, l.Get("msg"))
		g.Expect(l.Source).To(Equal("replicas store-1"))
	}
	for _, l := range s.Context {
		context = append(context, l.Get("batch"))
	}
	g.Expect(own).To(Equal([]string{"Attempt failed.", "Reward request failed."}))
	g.Expect(context).To(Equal([]string{"b1"}))
}

// Whatever a log file holds, it is read or skipped.
func FuzzSearch(f *testing.F) {
	f.Add("r1", entryLog)
	f.Add("", "time=\ntime=2026-12-04T02:00:00Z a=\"\ntime=2026-12-04T02:00:00Z =r1 r1")
	f.Fuzz(func(_ *testing.T, id, text string) {
		s, err := Search([]Log{logOf("f", text)}, id)
		if err == nil {
			s.Write(io.Discard)
		}
	})
}
