package systest

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// Guards against an entry that sends requests to a zone which an operator has evacuated by the command
// line, or that does not use it again once it is restored. The last zone is evacuated, too.
func TestNoEntryUsesAnEvacuatedZone(t *testing.T) {
	c := newCluster(t, "")
	caller := standin.Caller{Zone: "a", Key: c.createAccount("owner")}
	c.putDocument(checkerDocument + "\n[route:lookup]\npath = /verdicts/\nmethod = GET\nidempotent = true\ntimeout = 2s\n")
	c.startPlain(standin.Options{ID: "in-a", Service: "checker", Zone: "a"})
	c.startPlain(standin.Options{ID: "in-b", Service: "checker", Zone: "b"})
	change := func(command, zone, listed, served string) {
		t.Helper()
		c.runOperator("zone", command, zone)
		for i := 1; i <= c.n; i++ {
			c.g.Eventually(func() string {
				return c.runCLI(c.operatorArgs([]string{"zone", "list"}, []string{c.entry(i)})...)
			}, 2*time.Second, 20*time.Millisecond).Should(Equal(listed))
			caller.Entries = []string{c.entry(i)}
			for range 10 {
				r, err := caller.Do(context.Background(), http.MethodGet, "/services/checker/verdicts/1", nil, nil)
				c.g.Expect(err).NotTo(HaveOccurred())
				c.g.Expect(r.Header.Get("X-Upstream")).To(Equal(served), "entry %d: %d %s", i, r.Status, r.Body)
			}
		}
	}
	change("evacuate", "a", "a evacuated, 1 upstreams get nothing\n", "in-b")
	change("evacuate", "b", "a evacuated, 1 upstreams get nothing\nb evacuated, 1 upstreams get nothing\n", "")
	change("restore", "a", "b evacuated, 1 upstreams get nothing\n", "in-a")
}
