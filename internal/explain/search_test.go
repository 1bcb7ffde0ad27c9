package explain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func testLog(name, text string) Log {
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
	replicaLog = `collector store-1 time=2026-12-04T02:00:00.500Z level=info msg="Batch job added to the scheduler." batch=b1 items=4
collector store-1 time=2026-12-04T02:00:00.600Z level=info msg="Batch job added to the scheduler." batch=b2 items=4
collector store-1 time=2026-12-04T02:00:00.900Z level=info prefix=batch msg="Reward request failed." item=x1 batch=b1 reward=w1 code=310 err=500
collector store-1 time=2026-12-04T02:00:00.800Z level=info prefix=proxy msg="Attempt failed." request=w1 upstream=i-9 status=500
collector store-2 time=2026-12-04T02:00:00.850Z level=info prefix=control msg="Role in the control group." role=3
`
)

func TestSearchFindsTheLinesOfARequestAndStateChanges(t *testing.T) {
	g := NewWithT(t)
	s, err := Search([]Log{testLog("entry", entryLog), testLog("replicas", replicaLog)}, "r1")
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
	g.Expect(out.String()).NotTo(ContainSubstring("store-2"), "a process that was not involved")
	g.Expect(out.String()).To(ContainSubstring("result 206 upstream-failed (unknown)"))
}

// The report shows no result code for a request that failed in one process and was then
// answered by another.
func TestLaterSuccessHidesAnEarlierFailure(t *testing.T) {
	g := NewWithT(t)
	later := testLog("later", `time=2026-12-04T02:00:03.000Z level=info prefix=proxy msg="Request answered." request=r1 status=200 code=0`+"\n")
	s, err := Search([]Log{testLog("entry", entryLog), later}, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	s.Write(&out)
	g.Expect(out.String()).NotTo(ContainSubstring("result 206"))
}

func TestSearchFindsTheRewardRequestsAndTheJobOfAnItem(t *testing.T) {
	g := NewWithT(t)
	s, err := Search([]Log{testLog("entry", entryLog), testLog("replicas", replicaLog)}, "x1")
	g.Expect(err).NotTo(HaveOccurred())
	var matched, context []string
	for _, l := range s.Matched {
		matched = append(matched, l.Get("msg"))
		g.Expect(l.Source).To(Equal("replicas store-1"))
	}
	for _, l := range s.Context {
		context = append(context, l.Get("batch"))
	}
	g.Expect(matched).To(Equal([]string{"Attempt failed.", "Reward request failed."}))
	g.Expect(context).To(Equal([]string{"b1"}))
}

// Any content of a log file is read or skipped without a crash.
func FuzzSearch(f *testing.F) {
	f.Add("r1", entryLog)
	f.Add("", "time=\ntime=2026-12-04T02:00:00Z a=\"\ntime=2026-12-04T02:00:00Z =r1 r1")
	f.Fuzz(func(_ *testing.T, id, text string) {
		s, err := Search([]Log{testLog("f", text)}, id)
		if err == nil {
			s.Write(io.Discard)
		}
	})
}

// Guards against a rejected request whose cause is not shown: its service had no upstream
// left because the last one said in the answer to another request that it leaves.
func TestSearchShowsTheDepartureThatLeftNoUpstream(t *testing.T) {
	g := NewWithT(t)
	entry := testLog("entry", `time=2026-12-04T02:00:01.000Z level=info msg="Upstream says that it leaves." upstream=i-1 service=s1 incarnation=5 answered=r1 status=200 before=ready
time=2026-12-04T02:00:01.100Z level=info msg="Upstream says that it leaves." upstream=i-2 service=s2 incarnation=5 answered=r9 status=200 before=ready
time=2026-12-04T02:00:02.000Z level=warn prefix=proxy msg="Request failed." request=r2 service=s1 code=203 class="not run" tried=[] ms=0
time=2026-12-04T02:00:02.500Z level=warn prefix=proxy msg="Request failed." request=r3 service=s1 code=206 class=unknown tried=[i-3] ms=9
`)
	s, err := Search([]Log{entry}, "r2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Context).To(HaveLen(1))
	g.Expect(s.Context[0].Get("upstream")).To(Equal("i-1"))
	s, err = Search([]Log{entry}, "r3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Context).To(BeEmpty(), "it was sent to another upstream")
	s, err = Search([]Log{entry}, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Matched).To(HaveLen(1), "the request whose answer said it")
}
